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
    GenerationAdopted = 200, Info, "A newer configuration is in force.";
    GenerationRejected = 201, Error, "A newer configuration could not be read and the older stays.";
    PlatformFailed = 210, Warn, "A call to the platform failed.";
    RequestRefused = 300, Info, "A request was answered with an error.";
    RequestServed = 301, Debug, "A request was answered whole.";
    AttemptFailed = 310, Info, "An attempt at a stage failed.";
    FrameDropped = 311, Warn, "A frame that does not match its attempt was dropped.";
    ClaimMade = 400, Debug, "A claim for work that may not be repeated was made.";
    ClaimRecorded = 401, Debug, "The outcome of claimed work was recorded.";
    ClaimOpen = 402, Warn, "A claim stays open because the outcome is not known.";
    PhaseChanged = 500, Info, "An endpoint changed between cold, warming, warm and leaving.";
    MemberChanged = 510, Info, "An instance became alive, suspect, dead or leaving.";
    SuspectMarked = 520, Warn, "A request is suspected of crashing endpoints.";
}

impl Event {
    /// Logs the event with its details.
    pub fn log(self, details: fmt::Arguments<'_>) {
        log!(target: "event", self.level(), "{} {self:?}: {details}", self.number());
    }
}
