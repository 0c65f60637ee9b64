//! Detection of cold starts from the health reports of an engine.

use super::ColdReason;

/// Number of consecutive failed reports after which reporting counts as
/// stopped.
const MAX_MISSED_REPORTS: u32 = 2;

/// Health report of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    /// Incarnation of the engine, which increases with each start.
    pub incarnation: u64,
    /// Whether the engine is limited to its cold slots.
    pub cold: bool,
}

/// Detects cold starts by comparing each report with the previous one.
///
/// Missing reports are ignored until the endpoint has reported at least once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Monitor {
    last: Option<Health>,
    missed_reports: u32,
}

impl Monitor {
    /// Processes a report, or `None` if it failed; returns the reason if it
    /// indicates a cold start.
    pub fn observe(&mut self, health: Option<Health>) -> Option<ColdReason> {
        let Some(health) = health else {
            self.last?;
            self.missed_reports = self.missed_reports.saturating_add(1);
            return (self.missed_reports == MAX_MISSED_REPORTS)
                .then_some(ColdReason::ReportStopped);
        };
        self.missed_reports = 0;
        let last = self.last.replace(health)?;
        if health.incarnation > last.incarnation {
            Some(ColdReason::Incarnation)
        } else if health.incarnation < last.incarnation {
            Some(ColdReason::ReportWentBack)
        } else if health.cold && !last.cold {
            Some(ColdReason::ReportedCold)
        } else {
            None
        }
    }

    /// Returns whether the engine was cold in its last report.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.last.is_some_and(|health| health.cold)
    }

    /// Returns the incarnation from the last report, if there is one.
    #[must_use]
    pub fn incarnation(&self) -> Option<u64> {
        self.last.map(|health| health.incarnation)
    }
}
