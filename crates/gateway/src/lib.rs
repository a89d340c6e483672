//! The gateway: accepts callers' requests, forwards each to a backend server, and returns the server's answer.
//!
//! One thread runs all tasks, because an entry host has a fraction of one core. Tasks share state through `hub::Hub`,
//! and never borrow it across an await.

mod account;
mod admit;
mod buffer;
mod call;
mod check;
mod clock;
mod copy;
mod entries;
mod events;
mod feed;
mod front;
mod hub;
mod link;
mod logs;
mod message;
mod meter;
mod metrics;
mod news;
mod observe;
mod orders;
mod pack;
mod peer;
mod pool;
mod quota;
mod relay;
mod reply;
mod run;
mod servers;
mod settings;
mod socket;
mod store;
mod stores;
mod supervise;
mod suspect;
mod ticket;
mod updates;
mod waiting;

pub use events::{Event, Splitter};
pub use run::{run, run_until, start_logging};
pub use settings::{Error, Settings};
pub use supervise::restart_on_panic;
