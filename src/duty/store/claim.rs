//! Claims an idempotency key chosen by a caller for one owner, permanently.

use super::{Certainty, Claim, Condition, Row, StoreError, StoreOperation, StoreOutcome};

/// Attempts at a claim whose responses are lost.
const ATTEMPTS_MAX: u32 = 3;

/// Creates the claim's row; after a lost response, reads it back to find the owner of the key.
///
/// A claim may still take effect after its failure was reported. It then names this owner, which
/// has no record of a run with the key; the key may still be run only by that owner.
pub(super) async fn claim_key(
    key: String,
    claim: Claim,
    exchange: impl AsyncFn(StoreOperation) -> Result<StoreOutcome, StoreError>,
) -> Result<StoreOutcome, StoreError> {
    let value = serde_json::to_value(claim).map_err(|e| StoreError::not_applied(e.to_string()))?;
    let put = StoreOperation::Put { key: key.clone(), value, condition: Condition::Absent };
    let mut in_doubt = false;
    let mut last_error = StoreError::not_applied("not tried");
    for _ in 0..ATTEMPTS_MAX {
        match exchange(put.clone()).await {
            Ok(StoreOutcome::Written { .. }) => return Ok(StoreOutcome::Claimed(claim)),
            Ok(StoreOutcome::Conflict { present: Some(row) }) => return existing_claim(&row),
            Ok(_) => last_error = StoreError::not_applied("unexpected outcome of a claim"),
            Err(error) => last_error = error,
        }
        in_doubt |= last_error.certainty == Certainty::MayHaveBeenApplied;
        if !in_doubt {
            return Err(last_error);
        }
        let read = exchange(StoreOperation::ReadRow { key: key.clone() }).await;
        if let Ok(StoreOutcome::Row(Some(row))) = read {
            return existing_claim(&row);
        }
    }
    let certainty = if in_doubt { Certainty::MayHaveBeenApplied } else { Certainty::NotApplied };
    Err(StoreError { certainty, ..last_error })
}

/// The claim stored in `row`.
fn existing_claim(row: &Row) -> Result<StoreOutcome, StoreError> {
    let claim: Claim = serde_json::from_value(row.value.clone())
        .map_err(|e| StoreError::not_applied(format!("row {} is no claim: {e}", row.key)))?;
    Ok(StoreOutcome::Claimed(claim))
}
