//! Faults and the steps of a request at which they are injected.

use crate::simulation::{PLATFORM_DELAY_MS, RUN_TIME, Simulation};
use cicadacrank_bench::memory::{Behaviour, Disruption};
use cicadacrank_core::admission::ColdReason;
use std::{fmt, time::Duration};
use tokio::time;

/// Duration of a temporary fault, and of the wait after it; longer than the
/// deadline of a request.
const FAULT_DURATION: Duration = Duration::from_secs(20);

/// Time from the start of a step to the fault.
const STEP_OFFSET: Duration = Duration::from_millis(50);

/// Delay of the frame of [`Disruption::Late`].
const LATE_FRAME_DELAY: Duration = Duration::from_millis(300);

/// Delay of each call while the platform is slow, in milliseconds.
const SLOW_PLATFORM_MS: u64 = 1_500;

/// Step of a request at which a fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Earlier,
    Looking,
    Claiming,
    Running,
    Recording,
    Answered,
}

impl Step {
    pub const ALL: [Self; 6] = [
        Self::Earlier,
        Self::Looking,
        Self::Claiming,
        Self::Running,
        Self::Recording,
        Self::Answered,
    ];

    /// Waits until the request has reached this step.
    pub async fn wait_until_reached(self, simulation: &Simulation) {
        let runs = match self {
            Self::Earlier | Self::Looking | Self::Claiming => 1,
            Self::Running => 2,
            Self::Recording | Self::Answered => 3,
        };
        while simulation.port.runs().len() < runs {
            time::sleep(Duration::from_millis(1)).await;
        }
        match self {
            Self::Earlier | Self::Running | Self::Recording => time::sleep(STEP_OFFSET).await,
            Self::Looking | Self::Answered => time::sleep(RUN_TIME + STEP_OFFSET).await,
            Self::Claiming => {
                let call = Duration::from_millis(PLATFORM_DELAY_MS);
                time::sleep(RUN_TIME + call + STEP_OFFSET).await;
            }
        }
    }
}

/// A fault that is injected at a step of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    EntryKilled,
    EntryFrozen,
    SidecarKilled,
    SidecarFrozen,
    SidecarLeaving,
    EndpointCold,
    PlatformDown,
    PlatformSlow,
    PlatformThrottled,
    CallLost,
    AnswerLost,
    DataCentreTakenOut,
    ResentElsewhere,
}

impl Fault {
    pub const ALL: [Self; 13] = [
        Self::EntryKilled,
        Self::EntryFrozen,
        Self::SidecarKilled,
        Self::SidecarFrozen,
        Self::SidecarLeaving,
        Self::EndpointCold,
        Self::PlatformDown,
        Self::PlatformSlow,
        Self::PlatformThrottled,
        Self::CallLost,
        Self::AnswerLost,
        Self::DataCentreTakenOut,
        Self::ResentElsewhere,
    ];

    /// Injects the fault.
    pub fn inject(self, simulation: &Simulation) {
        match self {
            Self::EntryKilled => simulation.entries[0].kill(),
            Self::EntryFrozen => simulation.entries[0].process.pause(),
            Self::SidecarKilled | Self::SidecarFrozen => {
                simulation.last_used_sidecar().process.pause();
            }
            Self::SidecarLeaving => simulation.last_used_sidecar().service.leave(),
            Self::EndpointCold => {
                for endpoint in ["lookup-n", "orders-n", "writer-n"] {
                    simulation.sidecars[0]
                        .service
                        .mark_cold(endpoint, ColdReason::Incarnation);
                }
            }
            Self::PlatformDown => simulation.store.state().faults.down = true,
            Self::PlatformSlow => simulation.store.state().faults.delay_ms = SLOW_PLATFORM_MS,
            Self::PlatformThrottled => simulation.store.state().faults.throttled = true,
            Self::CallLost => simulation.store.state().faults.lose_calls = 1,
            Self::AnswerLost => simulation.store.state().faults.lose_answers = 1,
            Self::DataCentreTakenOut => simulation.take_out("north"),
            Self::ResentElsewhere => {}
        }
    }

    /// Waits for [`FAULT_DURATION`], removes the faults of the platform, resumes
    /// a frozen process and waits for the same time again.
    pub async fn recover(self, simulation: &Simulation) {
        time::sleep(FAULT_DURATION).await;
        simulation.store.state().faults = cicadacrank_bench::platform::Faults::default();
        match self {
            Self::EntryFrozen => simulation.entries[0].process.resume(),
            Self::SidecarFrozen => {
                simulation
                    .sidecars
                    .iter()
                    .for_each(|sidecar| sidecar.process.resume());
            }
            _ => {}
        }
        time::sleep(FAULT_DURATION).await;
    }
}

/// Faults of an endpoint; each affects one run.
pub const BEHAVIOURS: [Behaviour; 7] = [
    Behaviour::Rubbish,
    Behaviour::Truncate,
    Behaviour::RefuseWork,
    Behaviour::RefuseConnection,
    Behaviour::CutBefore,
    Behaviour::CutAfter,
    Behaviour::Silent,
];

/// Faults of a link: for the job itself and for each of its frames (admitted,
/// chunk, end).
pub const DISRUPTIONS: [Disruption; 18] = [
    Disruption::Refused,
    Disruption::BeforeJob,
    Disruption::DuplicateJob,
    Disruption::BeforeFrame(0),
    Disruption::BeforeFrame(1),
    Disruption::BeforeFrame(2),
    Disruption::Silent(0),
    Disruption::Silent(1),
    Disruption::Silent(2),
    Disruption::Duplicate(0),
    Disruption::Duplicate(1),
    Disruption::Duplicate(2),
    Disruption::Crossed(0),
    Disruption::Crossed(1),
    Disruption::Crossed(2),
    Disruption::Late(0, LATE_FRAME_DELAY),
    Disruption::Late(1, LATE_FRAME_DELAY),
    Disruption::Late(2, LATE_FRAME_DELAY),
];

/// A stage of the `order` pipeline, in order of execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Stock,
    Place,
    Note,
}

impl Stage {
    pub const ALL: [Self; 3] = [Self::Stock, Self::Place, Self::Note];

    /// Sets the behaviour of the endpoint for the next run of this stage.
    pub fn push_behaviour(self, simulation: &Simulation, behaviour: Behaviour) {
        for _ in 0..self as usize {
            simulation.port.push(Behaviour::Answer(RUN_TIME));
        }
        simulation.port.push(behaviour);
    }

    /// Disrupts the link for the next job of this stage.
    pub fn push_disruption(self, simulation: &Simulation, disruption: Disruption) {
        for _ in 0..self as usize {
            simulation.link.push(Disruption::Never);
        }
        simulation.link.push(disruption);
    }
}

impl fmt::Display for Stage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Stock => "repeatable, first",
            Self::Place => "not repeatable",
            Self::Note => "repeatable, streamed",
        })
    }
}
