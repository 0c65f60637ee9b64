//! What an engine's own report says of a cold start.

use super::ColdReason;

/// Reports in a row that must fail before the report counts as stopped.
const MAX_MISSED_REPORTS: u32 = 2;

/// What an engine reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    /// Rises with each start of the engine.
    pub incarnation: u64,
    /// Whether it bears its cold slots only.
    pub cold: bool,
}

/// Compares each report with the one before.
///
/// An endpoint that has never reported gives no sign by not reporting.
#[derive(Clone, Copy, Debug, Default)]
pub struct Monitor {
    last: Option<Health>,
    missed_reports: u32,
}

impl Monitor {
    /// Takes up a report, or its absence, and says what it is a sign of.
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

    /// Returns whether the last report says that the engine is cold.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.last.is_some_and(|health| health.cold)
    }

    /// Returns the incarnation in the last report.
    #[must_use]
    pub fn incarnation(&self) -> Option<u64> {
        self.last.map(|health| health.incarnation)
    }
}
