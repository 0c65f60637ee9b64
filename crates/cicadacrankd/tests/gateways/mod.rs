//! Shared helpers of the tests of gateways.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use cicadacrank_bench::{
    deployment::{Deployment, Fault, Plan, Role},
    fleet,
};

/// Starts a deployment with a number of gateways, and of endpoints of each role.
pub async fn deployment(gateways: usize, endpoints: usize) -> Deployment {
    let plan = Plan {
        program: env!("CARGO_BIN_EXE_cicadacrankd").into(),
        gateways,
        endpoints,
    };
    Deployment::start(&plan)
        .await
        .expect("failed to start the deployment")
}

/// Waits until the log of a gateway contains `text`. Lines are written after the
/// response that they tell of.
pub async fn wait_for_log(deployment: &Deployment, gateway: usize, text: &str) {
    let gateway = &deployment.gateways[gateway];
    if fleet::wait_for(text, async || gateway.log_text().contains(text))
        .await
        .is_err()
    {
        panic!("{text} is missing: {}", gateway.log_text());
    }
}

/// Sets the fault of all endpoints of a role.
pub fn set_faults(deployment: &Deployment, role: Role, fault: Fault) {
    deployment
        .endpoints_with(role)
        .for_each(|endpoint| endpoint.set_fault(fault));
}
