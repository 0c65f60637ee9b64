//! Conversions between the messages that gateways exchange and their types.

use crate::{
    clock::milliseconds,
    gateway::{owner::Task, rollout::News, stages::Output},
};
use cicadacrank_core::{
    directory::Incarnation,
    placement::Limit,
    rollout::{Count, Evidence, Order, Phase, Report, Route, Times},
    roster::{Gateway, Room},
    version::Version,
};
use cicadacrank_wire::wire::{
    self, EndpointEvidence, EndpointLife, EndpointLimit, GatewayState, Production, RolloutReport,
    RolloutState, RouteEvidence,
};
use std::time::Duration;

/// Encodes a gateway.
pub fn encode_gateway(gateway: &Gateway) -> GatewayState {
    GatewayState {
        instance: gateway.instance.clone(),
        incarnation: gateway.incarnation,
        address: gateway.address.clone(),
        leaving: gateway.leaving,
        heartbeats: gateway.heartbeats,
        reads_digests: gateway.reads_digests,
        millicores: gateway.room.millicores,
        link_mbps: gateway.room.link_mbps,
    }
}

/// Decodes a gateway.
pub fn decode_gateway(state: GatewayState) -> Gateway {
    Gateway {
        instance: state.instance,
        incarnation: state.incarnation,
        address: state.address,
        leaving: state.leaving,
        heartbeats: state.heartbeats,
        reads_digests: state.reads_digests,
        room: Room {
            millicores: state.millicores,
            link_mbps: state.link_mbps,
        },
    }
}

/// Encodes the limit that an endpoint stated.
pub fn encode_limit(endpoint: &Incarnation, limit: Limit, now: Duration) -> EndpointLimit {
    EndpointLimit {
        endpoint: endpoint.id.clone(),
        born: endpoint.born,
        per_second: limit.per_second,
        age_ms: milliseconds(now.saturating_sub(limit.at)),
    }
}

/// Decodes the limit that an endpoint stated, from a message that arrived at `now`.
pub fn decode_limit(limit: EndpointLimit, now: Duration) -> (Incarnation, Limit) {
    let endpoint = Incarnation {
        id: limit.endpoint,
        born: limit.born,
    };
    let per_second = limit.per_second.filter(|limit| *limit >= 0.0);
    let age = Duration::from_millis(limit.age_ms);
    (endpoint, Limit::reported(per_second, age, now))
}

/// Encodes an incarnation of an endpoint.
pub fn encode_life(endpoint: &Incarnation) -> EndpointLife {
    EndpointLife {
        endpoint: endpoint.id.clone(),
        born: endpoint.born,
    }
}

/// Decodes an incarnation of an endpoint.
pub fn decode_life(wire: EndpointLife) -> Incarnation {
    Incarnation {
        id: wire.endpoint,
        born: wire.born,
    }
}

/// Encodes a task.
pub fn encode_task(task: &Task) -> Production {
    Production {
        request: task.request.clone(),
        service: task.service.clone(),
        stage: task.stage,
        pieces: task.pieces,
        key: task.key.clone(),
        inputs: task.inputs.clone(),
        near: task.near.clone(),
        bytes: task.bytes,
        due_ms: milliseconds(task.due),
        expires_ms: milliseconds(task.expires),
        rank: task.rank,
        spent: task.spent.iter().cloned().map(encode_output).collect(),
    }
}

/// Decodes a task.
pub fn decode_task(wire: Production) -> Task {
    Task {
        request: wire.request,
        service: wire.service,
        stage: wire.stage,
        pieces: wire.pieces,
        key: wire.key,
        inputs: wire.inputs,
        near: wire.near,
        bytes: wire.bytes,
        due: Duration::from_millis(wire.due_ms),
        expires: Duration::from_millis(wire.expires_ms),
        rank: wire.rank,
        spent: wire.spent.into_iter().map(decode_output).collect(),
    }
}

/// Encodes a result of a stage.
pub fn encode_output(output: Output) -> wire::Result {
    wire::Result {
        handle: output.handle,
        endpoint: output.endpoint.id,
        born: output.endpoint.born,
        service: output.service,
        data_centre: output.data_centre,
        bytes: output.bytes,
    }
}

/// Decodes a result of a stage.
pub fn decode_output(wire: wire::Result) -> Output {
    Output {
        handle: wire.handle,
        endpoint: Incarnation {
            id: wire.endpoint,
            born: wire.born,
        },
        service: wire.service,
        data_centre: wire.data_centre,
        bytes: wire.bytes,
    }
}

/// Encodes what this gateway tells of a roll-out.
pub fn encode_rollout(news: News) -> RolloutState {
    let News {
        order,
        elapsed,
        own,
        others,
    } = news;
    RolloutState {
        service: order.service,
        to: order.to,
        duration_ms: milliseconds(order.duration),
        created: order.created,
        era: order.seen.era,
        revision: order.seen.revision,
        elapsed_ms: milliseconds(elapsed),
        own: Some(encode_report(own)),
        others: others.into_iter().map(encode_report).collect(),
    }
}

/// Decodes what another gateway tells of a roll-out, or returns `None` if it is incomplete.
pub fn decode_rollout(wire: RolloutState) -> Option<News> {
    Some(News {
        own: decode_report(wire.own?)?,
        others: wire.others.into_iter().filter_map(decode_report).collect(),
        elapsed: Duration::from_millis(wire.elapsed_ms),
        order: Order {
            service: wire.service,
            to: wire.to,
            duration: Duration::from_millis(wire.duration_ms),
            created: wire.created,
            seen: Version::new(wire.era, wire.revision),
        },
    })
}

fn encode_report(report: Report) -> RolloutReport {
    let Evidence { routes, endpoints } = report.evidence;
    RolloutReport {
        instance: report.instance,
        incarnation: report.incarnation,
        sequence: report.sequence,
        phase: match report.phase {
            Phase::Trial => 0,
            Phase::Full => 1,
            Phase::Withdrawn => 2,
            Phase::RolledBack => 3,
            Phase::Completed => 4,
        },
        stopped: report.stopped,
        old_in_flight: report.old_in_flight,
        routes: routes
            .into_iter()
            .map(|route| RouteEvidence {
                route: route.name,
                old_good: route.old.good,
                old_bad: route.old.bad,
                new_good: route.new.good,
                new_bad: route.new.bad,
                expected: route.expected,
                timed: route.times.answers,
                seconds: route.times.seconds,
                squares: route.times.squares,
            })
            .collect(),
        endpoints: endpoints
            .into_iter()
            .map(|(endpoint, count)| EndpointEvidence {
                endpoint,
                good: count.good,
                bad: count.bad,
            })
            .collect(),
    }
}

/// Decodes a report, or returns `None` if its phase is unknown here.
fn decode_report(wire: RolloutReport) -> Option<Report> {
    let count = |good, bad| Count { good, bad };
    Some(Report {
        instance: wire.instance,
        incarnation: wire.incarnation,
        sequence: wire.sequence,
        phase: match wire.phase {
            0 => Phase::Trial,
            1 => Phase::Full,
            2 => Phase::Withdrawn,
            3 => Phase::RolledBack,
            4 => Phase::Completed,
            _ => return None,
        },
        stopped: wire.stopped,
        old_in_flight: wire.old_in_flight,
        evidence: Evidence::new(
            wire.routes.into_iter().map(|one| Route {
                old: count(one.old_good, one.old_bad),
                new: count(one.new_good, one.new_bad),
                expected: one.expected,
                times: Times {
                    answers: one.timed,
                    seconds: one.seconds,
                    squares: one.squares,
                },
                name: one.route,
            }),
            wire.endpoints
                .into_iter()
                .map(|one| (one.endpoint, count(one.good, one.bad))),
        ),
    })
}
