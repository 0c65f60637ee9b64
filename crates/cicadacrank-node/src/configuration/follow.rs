//! Follows the rules in the platform.

use super::{Holder, RULESET_NAME, Ruleset};
use crate::platform::{Collection, Store};
use cicadacrank_core::event::Event;
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Keeps the newest ruleset of the platform in force.
pub async fn follow(holder: Arc<Holder>, store: Arc<dyn Store>, pause: Duration) {
    loop {
        match store.get(Collection::Rulesets, RULESET_NAME).await {
            Ok(object) => match serde_json::from_value::<Ruleset>(object.spec) {
                Ok(ruleset) => {
                    holder.offer(ruleset);
                }
                Err(error) => Event::GenerationRejected.log(format_args!("{error}")),
            },
            Err(fault) => Event::PlatformFailed.log(format_args!("reading the rules: {fault}")),
        }
        time::sleep(pause).await;
    }
}
