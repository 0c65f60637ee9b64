//! Decodes the operators' orders for roll-outs, and encodes what becomes of them.

use super::Object;
use cicadacrank_core::rollout::{Order, Phase};
use serde::Deserialize;
use serde_json::{Value, json};
use std::time::Duration;

/// Maximum time within which an order may be carried out.
const MAX_DURATION: Duration = Duration::from_secs(7 * 24 * 60 * 60);

const IN_PROGRESS: &str = "in_progress";
const COMPLETED: &str = "completed";
const ROLLED_BACK: &str = "rolled_back";

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireOrder {
    service: String,
    to: String,
    duration_s: f64,
}

#[derive(Deserialize)]
struct WireStatus {
    state: String,
    to: String,
}

/// Decodes an order and the phase that its status states. A status for another version is
/// that of an earlier order.
///
/// # Errors
///
/// Returns a message that describes the invalid field.
pub fn decode(object: &Object) -> Result<(Order, Option<Phase>), String> {
    if object.spec.is_null() {
        return Err("the content is empty or cannot be read".to_owned());
    }
    let wire = WireOrder::deserialize(&object.spec).map_err(|error| error.to_string())?;
    if wire.service != object.name {
        return Err("`service` differs from the name of the object".to_owned());
    }
    let duration = Duration::try_from_secs_f64(wire.duration_s)
        .ok()
        .filter(|duration| *duration <= MAX_DURATION)
        .ok_or_else(|| format!("`durationS` is {}", wire.duration_s))?;
    let status = WireStatus::deserialize(&object.status).ok();
    let status = status.filter(|status| status.to == wire.to);
    let phase = status.and_then(|status| match status.state.as_str() {
        IN_PROGRESS => Some(Phase::Trial),
        COMPLETED => Some(Phase::Completed),
        ROLLED_BACK => Some(Phase::RolledBack),
        _ => None,
    });
    let order = Order {
        service: wire.service,
        to: wire.to,
        duration,
        created: object.created,
        seen: object.version,
    };
    Ok((order, phase))
}

/// Encodes the status of an order.
#[must_use]
pub fn encode_status(phase: Phase, to: &str) -> Value {
    let state = match phase {
        Phase::Trial | Phase::Full | Phase::Withdrawn => IN_PROGRESS,
        Phase::RolledBack => ROLLED_BACK,
        Phase::Completed => COMPLETED,
    };
    json!({ "state": state, "to": to })
}
