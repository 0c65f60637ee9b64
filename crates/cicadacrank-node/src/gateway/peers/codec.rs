//! Conversions between the messages that gateways exchange and their types.

use crate::{
    clock::milliseconds,
    gateway::{owner::Task, stages::Output},
};
use cicadacrank_core::{
    directory::Incarnation,
    placement::Limit,
    roster::{Gateway, Room},
};
use cicadacrank_wire::wire::{self, EndpointLife, EndpointLimit, GatewayState, Production};
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
