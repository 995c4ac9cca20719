//! Converts the fields of events into log values.

use std::net::SocketAddr;

use crate::call::{ArmId, AttemptId, ClassRank, Key, Level, NodeId, RootId};

/// Converts a field for a log line: numbers and booleans stay as they are, all else becomes text.
pub trait ToLog {
    /// The type that is passed to `slog`.
    type Logged: slog::Value;

    /// Converts the field.
    fn to_log(&self) -> Self::Logged;
}

macro_rules! log_as {
    ($($field_type:ty => $logged:ty, |$value:ident| $convert:expr;)*) => {
        $(impl ToLog for $field_type {
            type Logged = $logged;

            fn to_log(&self) -> $logged {
                let $value = self;
                $convert
            }
        })*
    };
}

log_as! {
    bool => bool, |value| *value;
    u32 => u32, |value| *value;
    u64 => u64, |value| *value;
    String => String, |value| value.clone();
    &'static str => &'static str, |value| value;
    SocketAddr => String, |value| value.to_string();
    NodeId => String, |value| value.to_string();
    RootId => String, |value| value.to_string();
    AttemptId => String, |value| value.to_string();
    Key => String, |value| format!("{}-{}-{:016x}", value.owner, value.minted_unix_ms, value.nonce);
    ArmId => u8, |value| value.0;
    ClassRank => u8, |value| value.0;
    Level => u16, |value| value.0;
}
