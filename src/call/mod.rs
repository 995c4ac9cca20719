//! Types of a call: identifiers, priorities, verdicts, and the messages that nodes exchange.
//!
//! Nothing here does I/O or reads a clock.

mod body;
pub mod codec;
pub mod frame;
pub mod id;
pub mod key;
pub mod level;
mod trace;
pub mod verdict;

pub use frame::{
    AnswerFrame, CallFrame, HttpAnswer, HttpRequest, LoadReport, Message, TraceContext,
};
pub use id::{AttemptId, NodeId, RootId};
pub use key::{Key, KeyLifetime, KeyTextError, ParsedKey};
pub use level::{ArmId, ClassRank, Level};
pub use verdict::{Doubt, Refusal, RefusalReason, Verdict};
