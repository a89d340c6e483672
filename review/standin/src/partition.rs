//! Two data centres lose each other again and again, while both reach the store and the servers.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    path::Path,
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    fleet::{Fleet, judge},
    gateway::{Gateway, PEER_PORT},
    peers::Link,
    record::Record,
};

/// The operator names new weights this often.
const BUMP_PERIOD: Duration = Duration::from_millis(2_400);
const CUTS: u32 = 5;
const CUT_TIME: Duration = Duration::from_millis(5_700);
const HEALED_TIME: Duration = Duration::from_millis(5_500);
const STEP: Duration = Duration::from_millis(100);

pub fn run(
    trouble: bool,
    record: &Record,
    folder: &Path,
    address: impl Fn(u8) -> IpAddr,
) -> io::Result<Verdict> {
    let hosts = [address(10), address(30)];
    let aliases = [address(20), address(21)];
    let link = Link::start(hosts, aliases)?;
    let seeds = [aliases[1], aliases[0]].map(|alias| SocketAddr::new(alias, PEER_PORT));
    let mut fleet = match Fleet::start(record, folder, &address, hosts, seeds)? {
        Ok(fleet) => fleet,
        Err(verdict) => return Ok(verdict),
    };
    thread::sleep(Duration::from_secs(2));
    let mut next_bump = record.now();
    let mut healed_at = Vec::new();
    let first_cut = record.now() + Duration::from_secs(3);
    let mut is_cut = false;
    let end = first_cut + (CUT_TIME + HEALED_TIME) * CUTS;
    while record.now() < end {
        if record.now() >= next_bump {
            fleet.name_version(record);
            next_bump += BUMP_PERIOD;
        }
        let since = record.now().saturating_sub(first_cut);
        let cycle = CUT_TIME + HEALED_TIME;
        let in_cycle = Duration::from_secs_f64(since.as_secs_f64() % cycle.as_secs_f64());
        let cut = trouble && !since.is_zero() && in_cycle < CUT_TIME;
        if cut != is_cut {
            is_cut = cut;
            link.set_cut(cut);
            let text = if cut { "lose" } else { "find" };
            record.line(&format!("zone-0 and zone-1 {text} each other"));
            if !cut {
                healed_at.push(record.now());
            }
        }
        thread::sleep(STEP);
    }
    if fleet.gateways.iter_mut().any(Gateway::has_ended) {
        return Ok(Verdict::NotRun("a gateway has ended".to_owned()));
    }
    Ok(judge(&fleet.orders(), &healed_at, record))
}
