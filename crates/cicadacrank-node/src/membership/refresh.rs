//! Updates of an entry's table of endpoints.

use crate::{entry, peer};
use cicadacrank_core::membership::{Member, Role};
use std::sync::Arc;

/// Updates the table of an entry on each change of the members or the rules.
///
/// An endpoint is removed immediately if its sidecar is leaving or dead, or if
/// the rules take it out. The endpoints of a suspect stay, as it may refute the
/// suspicion.
pub async fn refresh(service: Arc<entry::Service>, peer: Arc<peer::Service>) {
    let mut members = peer.members();
    let mut rules = service.parts().holder.subscribe();
    loop {
        update_table(&service, &peer.live());
        tokio::select! {
            Ok(()) = members.changed() => {}
            Ok(()) = rules.changed() => {}
            else => return,
        }
    }
}

fn update_table(service: &entry::Service, members: &[Member]) {
    let Some(configuration) = service.parts().holder.newest() else {
        return;
    };
    let definitions = &configuration.definitions;
    let mut table = service.table();
    let mut endpoints: Vec<&str> = Vec::new();
    let sidecars = members.iter().filter(|member| member.role == Role::Sidecar);
    for member in sidecars.filter(|member| member.takes_work()) {
        for name in &member.endpoints {
            let Some(key) = definitions
                .endpoint(name)
                .filter(|key| !definitions.is_taken_out(*key))
            else {
                continue;
            };
            let pool = &definitions[definitions[key].pool].name;
            let data_centre = &definitions[definitions[key].data_centre].name;
            table.insert(name, pool, data_centre, member.address);
            endpoints.push(name);
        }
    }
    endpoints.sort_unstable();
    table.retain(|endpoint| endpoints.binary_search(&endpoint).is_ok());
    if !endpoints.is_empty() {
        service.mark_endpoints_loaded();
    }
}
