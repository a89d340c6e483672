//! Entries, prompts and times for the tests.

#![allow(dead_code, reason = "each test file uses only some of these items")]

pub mod fleet;

use std::{net::SocketAddr, time::Duration};

use compact_str::format_compact;
use jaystand_dispatch::{
    directory::{Directory, Entry},
    prompt::{Part, Prompt},
};
use jaystand_types::Model;
use smallvec::smallvec;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 9_000 + number))
}

/// A directory whose configuration names the services `lm` and `desk`.
pub fn directory() -> Directory {
    let mut directory = Directory::default();
    directory.set_services(["lm".into(), "desk".into()]);
    directory
}

/// An engine of the service `lm` with 24 slots.
pub fn engine(number: u16, version: u64) -> Entry {
    Entry {
        name: format_compact!("server-{number}"),
        started_ms: 1_000,
        service: "lm".into(),
        address: address(number),
        data_centre: "a".into(),
        slots: 24,
        leaving: false,
        warm_up_left: Duration::ZERO,
        weights: smallvec![(Model::from("reef"), version)],
    }
}

/// A server of the plain service `desk` with 6 slots.
pub fn desk(number: u16) -> Entry {
    Entry {
        service: "desk".into(),
        slots: 6,
        weights: smallvec![],
        ..engine(100 + number, 0)
    }
}

/// A prompt with a shared document and a part of its own, whose lengths are given in tokens.
pub fn prompt(document: &str, shared: u32, own: u32) -> Prompt {
    let part = |name: &str, tokens| Part {
        name: name.into(),
        tokens,
    };
    Prompt {
        model: "reef".into(),
        parts: smallvec![part(document, shared), part("own", own)],
        input_tokens: shared + own,
        output_tokens: 40,
    }
}
