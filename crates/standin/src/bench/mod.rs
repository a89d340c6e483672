//! Benchmarks: daemons run as their own processes in front of stand-ins in this process.

pub(crate) mod cluster;
pub(crate) mod compare;
pub(crate) mod control;
pub(crate) mod drain;
pub(crate) mod faults;
pub(crate) mod measure;
pub(crate) mod micro;
pub(crate) mod orders;
pub(crate) mod overhead;
pub(crate) mod plot;
pub(crate) mod process;
pub(crate) mod run;
pub(crate) mod stream;
pub(crate) mod target;
pub(crate) mod trace;
