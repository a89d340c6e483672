//! Checks of the directory itself: names, keys, addresses and references between its lists.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
};

use crate::{
    Directory, Fault, Faults, Server, ServerKind,
    fault::{Place, Problem, Section},
};

const MAX_NAME: usize = 64;
const KEY_HASH_DIGITS: usize = 64;
const MAX_SHARE: u8 = 100;

impl Directory {
    /// Checks the directory without a sheet.
    ///
    /// # Errors
    /// Returns every fault.
    pub fn check(&self) -> Result<(), Faults> {
        let faults = faults(self);
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Faults { faults })
        }
    }
}

pub(crate) fn faults(directory: &Directory) -> Vec<Fault> {
    let mut faults = Vec::new();
    teams(directory, &mut faults);
    models(directory, &mut faults);
    servers(directory, &mut faults);
    faults
}

fn teams(directory: &Directory, faults: &mut Vec<Fault>) {
    let mut names = Unique::new(Section::Teams, "name");
    let mut keys = Unique::new(Section::Teams, "key_hash");
    for (index, team) in directory.teams.iter().enumerate() {
        name(Section::Teams, index, &team.name, faults);
        names.add(index, team.name.to_string(), faults);
        let digits = team.key_hash.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !digits || team.key_hash.len() != KEY_HASH_DIGITS {
            let place = Place::Entry(Section::Teams, index + 1, "key_hash");
            faults.push(Fault::new(
                place,
                Problem::BadKeyHash(team.key_hash.clone()),
            ));
        } else {
            keys.add(index, team.key_hash.to_ascii_lowercase().into(), faults);
        }
    }
}

fn models(directory: &Directory, faults: &mut Vec<Fault>) {
    let mut names = Unique::new(Section::Models, "name");
    for (index, model) in directory.models.iter().enumerate() {
        let place = |field| Place::Entry(Section::Models, index + 1, field);
        name(Section::Models, index, &model.name, faults);
        names.add(index, model.name.to_string(), faults);
        if model.weights_version.is_empty() {
            faults.push(Fault::new(place("weights_version"), Problem::NoWeights));
        }
        if model.serving_share > MAX_SHARE {
            let problem = Problem::BadShare(model.serving_share);
            faults.push(Fault::new(place("serving_share"), problem));
        }
    }
}

fn servers(directory: &Directory, faults: &mut Vec<Fault>) {
    let models: HashSet<&str> = directory.models.iter().map(|m| m.name.as_str()).collect();
    let mut names = Unique::new(Section::Servers, "name");
    let mut addresses = Unique::new(Section::Servers, "address");
    for (index, server) in directory.servers.iter().enumerate() {
        name(Section::Servers, index, &server.name, faults);
        names.add(index, server.name.to_string(), faults);
        addresses.add(index, server.address.to_string(), faults);
        for (field, problem) in server_problems(server, &models) {
            let place = Place::Entry(Section::Servers, index + 1, field);
            faults.push(Fault::new(place, problem));
        }
    }
}

fn server_problems(server: &Server, models: &HashSet<&str>) -> Vec<(&'static str, Problem)> {
    let mut problems = Vec::new();
    let known = models.contains(server.model.as_str());
    match server.kind {
        ServerKind::Engine if !known => {
            problems.push(("model", Problem::UnknownModel(server.model.clone())));
        }
        ServerKind::Service if known => {
            problems.push(("model", Problem::ServiceNamedAsModel(server.model.clone())));
        }
        ServerKind::Service if !is_name(&server.model) => {
            problems.push(("model", Problem::BadName(server.model.clone())));
        }
        ServerKind::Engine | ServerKind::Service => {}
    }
    if server.kind == ServerKind::Engine && server.weights_version.is_empty() {
        problems.push(("weights_version", Problem::NoWeights));
    }
    if !is_name(&server.data_centre) {
        problems.push(("data_centre", Problem::BadName(server.data_centre.clone())));
    }
    if !can_be_called(server.address) {
        problems.push(("address", Problem::BadAddress(server.address.to_string())));
    }
    problems
}

fn can_be_called(address: SocketAddr) -> bool {
    address.port() != 0 && !address.ip().is_unspecified() && !address.ip().is_multicast()
}

fn is_name(text: &str) -> bool {
    let visible = |letter: char| !letter.is_whitespace() && !letter.is_control();
    (1..=MAX_NAME).contains(&text.chars().count()) && text.chars().all(visible) && text != "*"
}

fn name(part: Section, index: usize, text: &str, faults: &mut Vec<Fault>) {
    if !is_name(text) {
        let place = Place::Entry(part, index + 1, "name");
        faults.push(Fault::new(place, Problem::BadName(text.into())));
    }
}

/// Finds values of one field that two entries share.
struct Unique {
    part: Section,
    field: &'static str,
    seen: HashMap<String, usize>,
}

impl Unique {
    fn new(part: Section, field: &'static str) -> Self {
        Self {
            part,
            field,
            seen: HashMap::new(),
        }
    }

    fn add(&mut self, index: usize, text: String, faults: &mut Vec<Fault>) {
        let entry = index + 1;
        if let Some(&first) = self.seen.get(&text) {
            let place = Place::Entry(self.part, entry, self.field);
            faults.push(Fault::new(place, Problem::Repeated { text, first }));
        } else {
            self.seen.insert(text, entry);
        }
    }
}
