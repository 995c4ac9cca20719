//! Reports how the teams use a target, and keeps the reports of other nodes.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::mesh::frame::TeamUse;

/// The last report on the use of another node's target.
#[derive(Debug, Default)]
pub struct PeerTeamUse {
    reported: RefCell<Option<(Rc<TeamUse>, Instant)>>,
}

impl PeerTeamUse {
    /// Records a report.
    pub fn update(&self, report: TeamUse) {
        self.reported.replace(Some((Rc::new(report), Instant::now())));
    }

    /// The last report and its age.
    pub fn current(&self) -> Option<(Rc<TeamUse>, Duration)> {
        let (report, at) = self.reported.borrow().clone()?;
        Some((report, at.elapsed()))
    }
}
