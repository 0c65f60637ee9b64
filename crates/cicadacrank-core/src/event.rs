//! The closed list of log events.
//!
//! Each line of the log is one of these events, with a number that never
//! changes its meaning. `docs/reference/events.md` is the catalogue, and a test
//! keeps both alike.

use log::{Level, log};
use std::fmt;

macro_rules! events {
    ($($event:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// One entry of the catalogue.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Event {
            $(#[doc = $text] $event,)*
        }

        impl Event {
            /// Every event, in order of number.
            pub const ALL: &'static [Self] = &[$(Self::$event,)*];

            /// Returns the number, which is stable over releases.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$event => $number,)* }
            }

            /// Returns the level the event is logged at.
            #[must_use]
            pub const fn level(self) -> Level {
                match self { $(Self::$event => Level::$level,)* }
            }

            /// Returns what the event means.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$event => $text,)* }
            }
        }
    };
}

events! {
    Started = 100, Info, "The process has bound its addresses.";
    Draining = 101, Info, "Shutdown began: readiness is withdrawn and accepted work goes on.";
    Stopped = 102, Info, "The process ends.";
    DrainExpired = 103, Error, "The bound of the shutdown passed with work in flight.";
    SettingsReloaded = 104, Info, "The settings were read anew.";
    SettingsRejected = 105, Error, "The settings could not be read anew and the older stay.";
    ReadyChanged = 106, Info, "The process became ready for callers, or is not any more.";
    GenerationAdopted = 200, Info, "A newer configuration is in force.";
    GenerationRejected = 201, Error, "A newer configuration could not be read and the older stays.";
    PlatformFailed = 210, Warn, "A call to the platform failed.";
    PlatformRegained = 211, Info, "A call to the platform succeeded after failures.";
    ConfigAdopted = 220, Info, "A newer configuration of the platform is in force.";
    ConfigRejected = 221, Error, "An object of the platform could not be read and what it replaces stays.";
    DirectoryChanged = 222, Info, "The list of endpoints changed.";
    EvacuationChanged = 223, Info, "Data centres are evacuated, or taken back.";
    RequestRefused = 300, Info, "A request was answered with an error.";
    RequestServed = 301, Debug, "A request was answered whole.";
    AttemptFailed = 310, Info, "An attempt at a stage failed.";
    FrameDropped = 311, Warn, "A frame that does not match its attempt was dropped.";
    AttemptChosen = 312, Info, "An endpoint was chosen for an attempt.";
    CallerLeft = 313, Info, "A caller went away before its answer was whole.";
    StreamResumed = 314, Info, "A stream goes on from another endpoint.";
    StreamBroken = 315, Warn, "A stream ended before its end was stated.";
    StreamBegan = 316, Info, "The first events of a stream were passed on.";
    PiecesFailed = 320, Info, "Pieces of a stage could not be made.";
    CallEnded = 321, Info, "A call with pieces of a stage ended.";
    LinesDropped = 330, Warn, "Lines of the log were dropped under load.";
    ClaimMade = 400, Debug, "A claim for work that may not be repeated was made.";
    ClaimRecorded = 401, Debug, "The outcome of claimed work was recorded.";
    ClaimOpen = 402, Warn, "A claim stays open because the outcome is not known.";
    PhaseChanged = 500, Info, "An endpoint changed between cold, warming, warm and leaving.";
    MemberChanged = 510, Info, "An instance became alive, suspect, dead or leaving.";
    PeerLost = 511, Warn, "Another gateway does not answer.";
    PeerRegained = 512, Info, "Another gateway answers again.";
    SuspectMarked = 520, Warn, "A request is suspected of crashing endpoints.";
    SuspectUntold = 521, Warn, "Not all entries could be told of a suspect in time.";
}

impl Event {
    /// Logs the event with its details.
    pub fn log(self, details: fmt::Arguments<'_>) {
        log!(target: "event", self.level(), "{} {self:?}: {details}", self.number());
    }
}
