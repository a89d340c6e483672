//! The calls that report the state of this daemon and of the other hosts.

use std::time::Duration;

use compact_str::CompactString;
use jaystand_control::{
    digest::{Config, short_hash},
    member::{Entry, State},
};
use jaystand_sheet::Document;
use serde::Serialize;
use serde_json::json;

use super::{Call, Result, ok};
use crate::{config::Store, peer::Peers, settings::Settings};

/// A host as this daemon knows it.
#[derive(Debug, Serialize)]
struct Host {
    name: CompactString,
    data_centre: CompactString,
    region: CompactString,
    address: String,
    state: &'static str,
    /// Absent for a host without a configuration, and for one whose digest this daemon has not received.
    config: Option<InForce>,
}

/// The configuration that a host has in force.
#[derive(Debug, Serialize)]
struct InForce {
    version: u64,
    /// First 8 bytes of the hash, in hexadecimal.
    hash: String,
    /// Age of the host's digest.
    age_ms: u64,
}

pub(super) fn status(call: &Call) -> Result {
    let settings = call.kernel.require::<Settings>()?;
    let lifecycle = call.kernel.lifecycle();
    let reasons = lifecycle.not_ready_reasons();
    let active = call.kernel.require::<Store>()?.current();
    let document = active.as_ref().map(|active| &active.document);
    let hosts = known_hosts(&*call.kernel.require::<Peers>()?);
    let everywhere = document.is_some_and(|document| {
        let mut reachable = hosts.iter().filter(|host| host.is_reachable());
        reachable.all(|host| host.has_version(document))
    });
    Ok(ok(&json!({
        "host": settings.host.name,
        "data_centre": settings.host.data_centre,
        "deployment": settings.host.deployment,
        "software": env!("CARGO_PKG_VERSION"),
        "phase": format!("{:?}", lifecycle.phase()).to_lowercase(),
        "ready": reasons.is_empty(),
        "reasons": reasons,
        "config": document.map(|document| json!({
            "version": document.version,
            "parent": document.parent,
            "hash": render_hash(short_hash(document.hash().as_bytes())),
            "author": document.author,
            "note": document.note,
        })),
        "in_force_everywhere": everywhere,
        "hosts": hosts,
    })))
}

pub(super) fn hosts(call: &Call) -> Result {
    let hosts = known_hosts(&*call.kernel.require::<Peers>()?);
    Ok(ok(&json!({"hosts": hosts})))
}

fn known_hosts(peers: &Peers) -> Vec<Host> {
    let mut hosts: Vec<Host> = peers
        .members()
        .into_iter()
        .map(|entry| {
            let config = peers.member_config(&entry.name);
            Host::new(entry, config)
        })
        .collect();
    hosts.sort_by(|a, b| a.name.cmp(&b.name));
    hosts
}

impl Host {
    fn new(entry: Entry, config: Option<(Config, Duration)>) -> Self {
        Self {
            name: entry.name,
            data_centre: entry.data_centre,
            region: entry.region,
            address: entry.address.to_string(),
            state: match entry.state {
                State::Live => "live",
                State::Suspect => "suspect",
                State::Leaving => "leaving",
                State::Gone => "gone",
            },
            config: config
                .filter(|(config, _)| config.version > 0)
                .map(|(config, age)| InForce {
                    version: config.version,
                    hash: render_hash(config.hash),
                    age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
                }),
        }
    }

    /// Returns whether callers may still reach the host.
    fn is_reachable(&self) -> bool {
        self.state != "gone"
    }

    /// Returns whether the host has this configuration or a newer one.
    fn has_version(&self, document: &Document) -> bool {
        let config = self.config.as_ref();
        config.is_some_and(|config| config.version >= document.version)
    }
}

/// Returns the first 8 bytes of a hash in hexadecimal, as the full hash starts.
fn render_hash(hash: u64) -> String {
    format!("{:016x}", u64::from_be_bytes(hash.to_le_bytes()))
}
