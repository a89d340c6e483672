//! Acquires, renews and releases the lease for orders, which is stored in a platform object.

use std::{sync::Arc, time::Duration};

use jaystand_control::lease::{Fault, Input, Record, Step};
use jaystand_platform::{Client, Error};
use jaystand_types::Version;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::{LEASE, Orders};

/// Object kind of leases.
const KIND: &str = "lease";
/// How often a waiting task checks whether the lease is still wanted, or wanted again.
const WANTED_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the state machine of the lease for ever.
pub(super) async fn run(client: Arc<Client>, orders: Arc<Orders>, is_candidate: impl Fn() -> bool) {
    let mut rng = Pcg64Mcg::seed_from_u64(rand::random());
    // A holder keeps the lease while one of its orders may still take effect.
    let wanted = || is_candidate() || orders.reconciler.lock().has_order_in_flight();
    let mut input = Input::Elapsed;
    loop {
        let step = {
            let wanted = wanted();
            let mut machine = orders.machine.lock();
            machine.set_wanted(wanted);
            machine.handle(orders.timer.now(), input, &mut rng)
        };
        input = match step {
            Step::Read => Input::Read(read(&client).await),
            Step::Write { expected, record } => {
                Input::Wrote(write(&client, expected, &record).await)
            }
            Step::Wait(duration) => {
                wait(&orders, duration, &wanted).await;
                Input::Elapsed
            }
        };
    }
}

/// Waits for `duration`, or until it changes whether the lease is wanted.
async fn wait(orders: &Orders, duration: Duration, is_wanted: &impl Fn() -> bool) {
    let wanted = is_wanted();
    let until = orders.timer.now() + duration;
    while orders.timer.now() < until && is_wanted() == wanted {
        let next = until.min(orders.timer.now() + WANTED_CHECK_INTERVAL);
        orders.timer.wake_at(next).tick().await;
    }
}

async fn read(client: &Client) -> Result<Option<(Version, Record)>, Fault> {
    let found = client
        .get(KIND, LEASE)
        .await
        .map_err(|_| Fault::Unavailable)?;
    let Some(object) = found else {
        return Ok(None);
    };
    match serde_json::from_slice(&object.value) {
        Ok(record) => Ok(Some((object.version, record))),
        Err(error) => {
            log::error!("object {KIND}/{LEASE} cannot be used, no orders are given: {error}");
            Err(Fault::Unavailable)
        }
    }
}

async fn write(
    client: &Client,
    expected: Option<Version>,
    record: &Record,
) -> Result<Version, Fault> {
    let value = serde_json::to_vec(record).map_err(|_| Fault::Unavailable)?;
    let written = client.put(KIND, LEASE, expected.into(), value.into()).await;
    written.map_err(|error| match error {
        Error::Conflict => Fault::Conflict,
        Error::Lost => Fault::Lost,
        Error::Unavailable { .. }
        | Error::TooLarge
        | Error::Denied
        | Error::Malformed
        | Error::Budget => Fault::Unavailable,
    })
}
