//! Making keys.

use crate::call::{Key, NodeId};

use super::ledger::LedgerOptions;

/// A key for a caller that asked for one; it can run for the whole lifetime of keys.
pub fn mint(owner: NodeId, unix_ms: u64, nonce: u64) -> Key {
    Key { owner, minted_unix_ms: unix_ms, nonce }
}

/// A key for a request that came without one.
///
/// Its caller never learns it, so nobody can present it after the deadline of the request, in
/// `remaining_ms`, and its owner need not remember it for longer. The time of minting is therefore
/// put back, so far that the key expires at the deadline. The clocks may be apart either way by
/// `skew_max_ms`, which is added twice.
pub fn mint_for_request(
    owner: NodeId,
    unix_ms: u64,
    nonce: u64,
    remaining_ms: u64,
    options: &LedgerOptions,
) -> Key {
    let lifetime_ms = remaining_ms.saturating_add(2 * options.skew_max_ms).min(options.key_ttl_ms);
    let put_back_ms = options.key_ttl_ms - lifetime_ms;
    Key { owner, minted_unix_ms: unix_ms.saturating_sub(put_back_ms), nonce }
}
