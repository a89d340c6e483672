//! `jaystand team`: the teams of the directory and their API keys.

use std::num::NonZeroU32;

use jaystand_sheet::{Document, Team as Entry};
use serde_json::{Value, json};

use crate::{
    arguments::{Signature, Team},
    client::Client,
    error::Error,
    output::Output,
    sheet::put,
};

/// Random bytes of an API key; guessing 32 is out of reach.
const KEY_BYTES: usize = 32;

pub(crate) async fn run(command: Team, client: &Client, output: &Output) -> Result<(), Error> {
    let mut document = client.config().await?.unwrap_or_default();
    match command {
        Team::List => {
            list(&document, output);
            Ok(())
        }
        Team::Add {
            name,
            weight,
            signature,
        } => {
            let key = add(&mut document, &name, weight)?;
            let note = note(&signature, &format!("team add {name}"));
            let version = replace(client, document, &signature, &note).await?;
            show_key(output, &name, &key, &version);
            Ok(())
        }
        Team::Remove { name, signature } => {
            position(&document, &name)?;
            document.directory.teams.retain(|team| team.name != name);
            let note = note(&signature, &format!("team remove {name}"));
            let version = replace(client, document, &signature, &note).await?;
            output.show(&json!({"team": name, "version": version}), || {
                anstream::println!("team {name} is removed in version {version}");
            });
            Ok(())
        }
        Team::Key { name, signature } => {
            let key = new_key();
            let index = position(&document, &name)?;
            document.directory.teams[index].key_hash = hash(&key).into();
            let note = note(&signature, &format!("team key {name}"));
            let version = replace(client, document, &signature, &note).await?;
            show_key(output, &name, &key, &version);
            Ok(())
        }
    }
}

fn list(document: &Document, output: &Output) {
    let teams: Vec<Value> = document
        .directory
        .teams
        .iter()
        .map(|team| {
            json!({
                "name": team.name,
                "weight": team.weight,
                "key_hash": team.key_hash,
            })
        })
        .collect();
    let columns = [
        ("team", "/name"),
        ("weight", "/weight"),
        ("key hash", "/key_hash"),
    ];
    output.table(&json!({"teams": teams}), "teams", &columns);
}

fn add(document: &mut Document, name: &str, weight: NonZeroU32) -> Result<String, Error> {
    if position(document, name).is_ok() {
        return Err(Error::refused(
            format!("there is a team `{name}` already"),
            "use another name, or `jaystand team key` for a new key",
        ));
    }
    let key = new_key();
    document.directory.teams.push(Entry {
        name: name.into(),
        key_hash: hash(&key).into(),
        weight,
    });
    Ok(key)
}

fn position(document: &Document, name: &str) -> Result<usize, Error> {
    let mut teams = document.directory.teams.iter();
    teams.position(|team| team.name == name).ok_or_else(|| {
        Error::refused(
            format!("there is no team `{name}`"),
            "use a name that `jaystand team list` shows",
        )
    })
}

/// Puts the changed document in force on top of the one that it was made from.
async fn replace(
    client: &Client,
    document: Document,
    signature: &Signature,
    note: &str,
) -> Result<Value, Error> {
    let body = json!({
        "sheet": document.sheet,
        "directory": document.directory,
        "author": signature.author,
        "note": note,
    });
    let accepted = put(client, document.version, &body).await?;
    Ok(accepted["version"].clone())
}

fn note(signature: &Signature, usual: &str) -> String {
    if signature.note.is_empty() {
        return usual.to_owned();
    }
    signature.note.clone()
}

fn new_key() -> String {
    let bytes: [u8; KEY_BYTES] = rand::random();
    blake3::Hash::from_bytes(bytes).to_hex().to_string()
}

fn hash(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

fn show_key(output: &Output, name: &str, key: &str, version: &Value) {
    let shown = json!({"team": name, "key": key, "version": version});
    output.show(&shown, || {
        anstream::println!("API key of team {name}, in force with version {version}:");
        anstream::println!("{key}");
        anstream::println!("It is shown once and not stored; hand it to the team now.");
    });
}
