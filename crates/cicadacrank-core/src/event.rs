//! The closed list of log events.
//!
//! Each log line is one of these events. The meaning of a number never changes.
//! The list is documented in `docs/reference/events.md`, and a test checks that
//! the page matches it.

use log::{Level, log};
use std::fmt;

macro_rules! events {
    ($($event:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// An event in the log.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Event {
            $(#[doc = $text] $event,)*
        }

        impl Event {
            /// All events, in ascending order of number.
            pub const ALL: &'static [Self] = &[$(Self::$event,)*];

            /// Returns the number, which is stable across releases.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$event => $number,)* }
            }

            /// Returns the level the event is logged at.
            #[must_use]
            pub const fn level(self) -> Level {
                match self { $(Self::$event => Level::$level,)* }
            }

            /// Returns a description of the event.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$event => $text,)* }
            }
        }
    };
}

events! {
    Started = 100, Info, "The process is listening on its addresses.";
    Draining = 101, Info, "Shutdown began: the process is no longer ready and completes accepted work.";
    Stopped = 102, Info, "The process exits.";
    DrainExpired = 103, Error, "The shutdown time limit expired with work in flight.";
    SettingsReloaded = 104, Info, "The settings were reloaded.";
    SettingsRejected = 105, Error, "The settings could not be reloaded; the previous ones stay in force.";
    ReadyChanged = 106, Info, "The process became ready for callers, or is no longer ready.";
    Introduced = 107, Info, "Other processes have told the process that starts what they know, or none was found to do so.";
    GenerationAdopted = 200, Info, "A newer configuration is in force.";
    GenerationRejected = 201, Error, "A newer configuration could not be read; the previous one stays in force.";
    RulesWrittenBack = 202, Info, "The configuration in force was written back to the platform, which had come back from a copy without it.";
    GenerationLost = 203, Warn, "A newer configuration lacks changes that were in force, because the platform had come back from a copy.";
    PlatformFailed = 210, Warn, "A call to the platform failed.";
    PlatformRegained = 211, Info, "A call to the platform succeeded after failures.";
    PlatformRestored = 212, Warn, "The platform's store came back from a copy.";
    ConfigAdopted = 220, Info, "A newer configuration from the platform is in force.";
    ConfigRejected = 221, Error, "An object from the platform could not be read; the previous version stays in use.";
    DirectoryChanged = 222, Info, "The list of endpoints changed.";
    EvacuationChanged = 223, Info, "The set of evacuated data centres changed.";
    LimitChanged = 224, Info, "An endpoint states another limit for its requests, or none.";
    EndpointLeaving = 225, Info, "An endpoint states that it leaves; it gets no more work.";
    EndpointPaused = 226, Info, "An endpoint states that it wants no requests from this process for some time.";
    ListIgnored = 227, Warn, "A list from the platform was not applied, because a newer one is in use.";
    OlderConfigHeld = 228, Warn, "An older configuration than the one in force was read; the one in force stays.";
    GrantDecided = 229, Info, "A request beyond the shares of the gateways in an endpoint's limit was granted or refused.";
    VersionsChanged = 230, Info, "Other versions of the software of a service's engines serve.";
    EndpointEnded = 231, Info, "The process of an endpoint has ended; the version of the software that its address serves is unknown.";
    EndpointConfirmed = 232, Info, "An endpoint whose process was taken to have ended runs on.";
    StepTookLong = 233, Warn, "A step of the process took so long that other requests waited noticeably.";
    VersionsRecorded = 234, Info, "The versions of a service that serve or served lately were recorded in the store.";
    RolloutBegan = 240, Info, "An order to move the traffic of a service to another version is known.";
    RolloutChanged = 241, Info, "A roll-out came to another phase.";
    RolloutStopped = 242, Warn, "The answers of a new version are bad, or its time is over; it gets no more requests.";
    RolloutWritten = 243, Info, "The progress or the status of a roll-out was written to the platform.";
    RolloutUnwritten = 244, Warn, "The progress or the status of a roll-out could not be written to the platform.";
    RolloutCounted = 245, Info, "The numbers of requests and answers of a roll-out so far.";
    AnswerJudged = 246, Info, "An endpoint of a new version failed a request or was slow.";
    RequestRefused = 300, Info, "A request was answered with an error.";
    RequestServed = 301, Debug, "A request was answered completely.";
    RequestArrived = 302, Debug, "The head of a request was read.";
    ConnectionEnded = 303, Debug, "A connection from a caller ended with an error.";
    CallerEvicted = 304, Info, "A connection from a caller was closed to make room, or its unfinished request was refused.";
    HeadTimedOut = 305, Info, "The head of a request did not arrive in time; its connection was closed.";
    AttemptFailed = 310, Info, "An attempt to run a stage failed.";
    FrameDropped = 311, Warn, "A frame that does not match its attempt was dropped.";
    AttemptChosen = 312, Info, "An endpoint was chosen for an attempt.";
    CallerLeft = 313, Info, "A caller disconnected before its response was complete.";
    StreamResumed = 314, Info, "A stream resumed from another endpoint.";
    StreamBroken = 315, Warn, "A stream ended before it was complete.";
    StreamBegan = 316, Info, "The first events of a stream were forwarded to the caller.";
    OriginFound = 317, Info, "The version that must go on with a stream which its caller takes up is known, or is not.";
    PiecesFailed = 320, Info, "Pieces of a stage could not be produced.";
    CallEnded = 321, Info, "A call to an endpoint for pieces of a stage ended.";
    PiecesRefused = 322, Info, "Pieces of a stage were refused on arrival, because they could not be complete before they expire.";
    RoomChanged = 323, Info, "A service has less room for stages than its queued pieces need, or enough again.";
    LinesDropped = 330, Warn, "Log lines were dropped under load.";
    ClaimMade = 400, Debug, "A claim for non-idempotent work was created.";
    ClaimRecorded = 401, Debug, "The outcome of claimed work was recorded.";
    ClaimOpen = 402, Warn, "A claim stays open because the outcome is unknown.";
    ClaimsRestored = 403, Info, "Claims were written again to a platform that came back from a copy.";
    PhaseChanged = 500, Info, "An endpoint changed phase between cold, warming, warm and leaving.";
    MemberChanged = 510, Info, "An instance became alive, suspect, dead or leaving.";
    PeerLost = 511, Warn, "Another gateway does not respond.";
    PeerRegained = 512, Info, "Another gateway responds again.";
    TrafficCounted = 513, Info, "Messages and bytes exchanged with other gateways since the start of the process, by purpose.";
    SuspectMarked = 520, Warn, "A request is suspected of crashing endpoints.";
    SuspectUntold = 521, Warn, "Not all entries could be notified of a suspect request in time.";
    QuarantineChanged = 522, Warn, "Requests with a cause of crashes are refused from now on, or no longer.";
    CrashUnproven = 523, Info, "A connection broke before its endpoint responded, and the process of the endpoint is not known to have ended.";
}

impl Event {
    /// Logs the event with its details.
    pub fn log(self, details: fmt::Arguments<'_>) {
        log!(target: "event", self.level(), "{} {self:?}: {details}", self.number());
    }
}
