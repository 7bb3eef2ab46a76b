//! What a held fleet offers to people: addresses and lines to try.

use std::fmt::Write as _;

use crate::fleet::Fleet;

/// Returns the addresses of a fleet and calls to try, ready to be pasted.
///
/// `key` names the order; it has to be as new as the fleet's claim window.
///
/// # Panics
///
/// Never: writing to a string can't fail.
#[must_use]
pub fn text(fleet: &Fleet, key: &str) -> String {
    let mut text = String::new();
    write(fleet, key, &mut text).expect("writing to a string never fails");
    text
}

fn write(fleet: &Fleet, key: &str, to: &mut String) -> std::fmt::Result {
    let deployment = fleet.deployment;
    writeln!(to, "{}", deployment.fleet)?;
    writeln!(to, "  log service   http://{}", fleet.log.address())?;
    writeln!(to, "  instance list http://{}", fleet.list.address())?;
    let targets = fleet.balancer.targets();
    for target in &targets {
        let operators = fleet.operators_address(&target.name);
        let operators = operators.map_or_else(String::new, |address| format!("http://{address}"));
        let (name, callers) = (&target.name, target.address);
        writeln!(
            to,
            "  {name}: callers http://{callers} operators {operators}"
        )?;
    }
    let Some(target) = targets.first() else {
        return Ok(());
    };
    let (callers, workspace) = (target.address, deployment.workspaces[0]);
    let model = deployment.model;
    writeln!(to, "  a streamed chat:")?;
    writeln!(
        to,
        "    curl -N http://{callers}/v1/chat/completions \
         -H 'Godwitpost-Workspace: {workspace}' -H 'Content-Type: application/json' \
         -d '{{\"model\":\"{model}\",\"stream\":true,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"a line on the north face\"}}]}}'"
    )?;
    let path = deployment.order_path;
    writeln!(
        to,
        "  an order; the same line sent again gets the same answer:"
    )?;
    writeln!(
        to,
        "    curl -i http://{callers}{path} -H 'Godwitpost-Workspace: {workspace}' \
         -H 'Idempotency-Key: {key}' -d '{{\"copies\":3}}'"
    )?;
    let zone = deployment.zones[0];
    writeln!(
        to,
        "  settings of one more router, for godwitpost-router --settings:"
    )?;
    for line in fleet.settings("one-more", zone).lines() {
        writeln!(to, "    {line}")?;
    }
    Ok(())
}
