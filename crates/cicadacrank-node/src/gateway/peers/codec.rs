//! Messages between gateways, and the types that they stand for.

use crate::gateway::{owner::Order, stages::Product};
use cicadacrank_core::{directory::Incarnation, roster::Gateway};
use cicadacrank_wire::wire::{self, GatewayState, Production};
use std::time::Duration;

/// Returns a time as messages carry it.
pub fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Writes what is known of a gateway.
pub fn encode_gateway(gateway: &Gateway) -> GatewayState {
    GatewayState {
        instance: gateway.instance.clone(),
        incarnation: gateway.incarnation,
        address: gateway.address.clone(),
        leaving: gateway.leaving,
    }
}

/// Reads what is known of a gateway.
pub fn decode_gateway(state: GatewayState) -> Gateway {
    Gateway {
        instance: state.instance,
        incarnation: state.incarnation,
        address: state.address,
        leaving: state.leaving,
    }
}

/// Writes an order of pieces.
pub fn encode_order(order: &Order) -> Production {
    Production {
        request: order.request.clone(),
        service: order.service.clone(),
        stage: order.stage,
        pieces: order.pieces,
        key: order.key.clone(),
        inputs: order.inputs.clone(),
        near: order.near.clone(),
        bytes: order.bytes,
        due_ms: milliseconds(order.due),
        expires_ms: milliseconds(order.expires),
        rank: order.rank,
        spent: order.spent.iter().cloned().map(encode_product).collect(),
    }
}

/// Reads an order of pieces.
pub fn decode_order(wire: Production) -> Order {
    Order {
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
        spent: wire.spent.into_iter().map(decode_product).collect(),
    }
}

/// Writes a result.
pub fn encode_product(product: Product) -> wire::Result {
    wire::Result {
        handle: product.handle,
        endpoint: product.endpoint.id,
        born: product.endpoint.born,
        service: product.service,
        data_centre: product.data_centre,
        bytes: product.bytes,
    }
}

/// Reads a result.
pub fn decode_product(wire: wire::Result) -> Product {
    Product {
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
