//! Claiming an idempotency key of a caller's own making for one owner, once and for ever.

use super::{Certainty, Claim, Condition, Row, StoreError, StoreOperation, StoreOutcome};

/// How often a claim whose answers get lost is tried.
const TRIES: u32 = 3;

/// Creates the claim's row, and after a lost answer finds out who has claimed the key.
///
/// A claim that takes effect after all, later than its failure was reported, names this owner, who
/// then knows nothing of a run: the key may be run by that owner and nobody else.
pub(super) async fn settle(
    key: String,
    claim: Claim,
    exchange: impl AsyncFn(StoreOperation) -> Result<StoreOutcome, StoreError>,
) -> Result<StoreOutcome, StoreError> {
    let value = serde_json::to_value(claim).map_err(|e| StoreError::not_applied(e.to_string()))?;
    let put = StoreOperation::Put { key: key.clone(), value, condition: Condition::Absent };
    let mut in_doubt = false;
    let mut last = StoreError::not_applied("not tried");
    for _ in 0..TRIES {
        match exchange(put.clone()).await {
            Ok(StoreOutcome::Written { .. }) => return Ok(StoreOutcome::Claimed(claim)),
            Ok(StoreOutcome::Conflict { present: Some(row) }) => return owner(&row),
            Ok(_) => last = StoreError::not_applied("unexpected outcome of a claim"),
            Err(error) => last = error,
        }
        in_doubt |= last.certainty == Certainty::MayHaveBeenApplied;
        if !in_doubt {
            return Err(last);
        }
        let read = exchange(StoreOperation::ReadRow { key: key.clone() }).await;
        if let Ok(StoreOutcome::Row(Some(row))) = read {
            return owner(&row);
        }
    }
    let certainty = if in_doubt { Certainty::MayHaveBeenApplied } else { Certainty::NotApplied };
    Err(StoreError { certainty, ..last })
}

/// The claim that stands in `row`.
fn owner(row: &Row) -> Result<StoreOutcome, StoreError> {
    let claim: Claim = serde_json::from_value(row.value.clone())
        .map_err(|e| StoreError::not_applied(format!("row {} is no claim: {e}", row.key)))?;
    Ok(StoreOutcome::Claimed(claim))
}
