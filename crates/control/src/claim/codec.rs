//! The encoding of a shard object: a protocol buffer message in an envelope with format number and checksum.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use prost::Message;

use super::{BodyHash, Key, Record, Reply, Shard, State, key::HASH_BYTES, shard::Day};

/// Format number of the encoding that this module writes. Daemons refuse formats that they do not know.
const FORMAT: u32 = 1;

/// Why a shard object cannot be decoded. Such an object is left unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Corrupt {
    /// The object is not valid protocol buffer data, or a field has an invalid value.
    #[error("the shard object does not decode")]
    Encoding,
    /// The object has an unknown format number.
    #[error("the shard object has unknown format {0}; this daemon knows format 1")]
    Format(u32),
    /// The object does not match its checksum.
    #[error("the shard object does not match its checksum")]
    Checksum,
}

#[derive(Clone, PartialEq, Message)]
struct Envelope {
    #[prost(uint32, tag = "1")]
    format: u32,
    #[prost(fixed64, tag = "2")]
    checksum: u64,
    #[prost(bytes = "bytes", tag = "3")]
    payload: Bytes,
}

#[derive(Clone, PartialEq, Message)]
struct ShardMessage {
    #[prost(message, repeated, tag = "1")]
    records: Vec<RecordMessage>,
    #[prost(message, repeated, tag = "2")]
    tombstones: Vec<TombstoneMessage>,
}

#[derive(Clone, PartialEq, Message)]
struct RecordMessage {
    #[prost(bytes = "bytes", tag = "1")]
    key: Bytes,
    #[prost(bytes = "bytes", tag = "2")]
    body: Bytes,
    #[prost(fixed64, tag = "3")]
    nonce: u64,
    #[prost(uint64, tag = "4")]
    claimed_at: u64,
    #[prost(bool, tag = "5")]
    done: bool,
    #[prost(message, optional, tag = "6")]
    reply: Option<ReplyMessage>,
}

#[derive(Clone, PartialEq, Message)]
struct ReplyMessage {
    #[prost(uint32, tag = "1")]
    status: u32,
    #[prost(string, tag = "2")]
    content_type: String,
    #[prost(bytes = "bytes", tag = "3")]
    body: Bytes,
}

#[derive(Clone, PartialEq, Message)]
struct TombstoneMessage {
    #[prost(uint32, tag = "1")]
    day: Day,
    /// Concatenated hashes of the day's keys.
    #[prost(bytes = "bytes", tag = "2")]
    keys: Bytes,
}

impl Shard {
    /// Encodes the shard as the value of its object.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let message = ShardMessage {
            records: self.records.values().map(encode_record).collect(),
            tombstones: self.tombstones.iter().map(encode_tombstones).collect(),
        };
        let payload = Bytes::from(message.encode_to_vec());
        let envelope = Envelope {
            format: FORMAT,
            checksum: checksum(&payload),
            payload,
        };
        envelope.encode_to_vec().into()
    }

    /// Decodes the value of a shard object.
    ///
    /// # Errors
    /// Returns an error if [`Shard::encode`] of a known format has not produced the value.
    pub fn decode(value: Bytes) -> Result<Self, Corrupt> {
        let envelope = Envelope::decode(value).map_err(|_| Corrupt::Encoding)?;
        if envelope.format != FORMAT {
            return Err(Corrupt::Format(envelope.format));
        }
        if envelope.checksum != checksum(&envelope.payload) {
            return Err(Corrupt::Checksum);
        }
        let message = ShardMessage::decode(envelope.payload).map_err(|_| Corrupt::Encoding)?;
        let records: Result<BTreeMap<Key, Record>, Corrupt> = message
            .records
            .into_iter()
            .map(|record| decode_record(record).map(|record| (record.key, record)))
            .collect();
        let tombstones: Result<BTreeMap<Day, BTreeSet<Key>>, Corrupt> = message
            .tombstones
            .into_iter()
            .map(|list| decode_keys(&list.keys).map(|keys| (list.day, keys)))
            .collect();
        Ok(Self {
            records: records?,
            tombstones: tombstones?,
        })
    }
}

fn checksum(payload: &[u8]) -> u64 {
    let hash = blake3::hash(payload);
    hash.as_bytes()[..8]
        .iter()
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

fn encode_record(record: &Record) -> RecordMessage {
    let (done, reply) = match &record.state {
        State::Done(reply) => (true, reply.as_ref().map(encode_reply)),
        State::Claimed | State::Released => (false, None),
    };
    RecordMessage {
        key: Bytes::copy_from_slice(&record.key.0),
        body: Bytes::copy_from_slice(&record.body.0),
        nonce: record.nonce,
        claimed_at: record.claimed_at,
        done,
        reply,
    }
}

fn encode_reply(reply: &Reply) -> ReplyMessage {
    ReplyMessage {
        status: u32::from(reply.status),
        content_type: reply.content_type.to_string(),
        body: reply.body.clone(),
    }
}

fn encode_tombstones((day, keys): (&Day, &BTreeSet<Key>)) -> TombstoneMessage {
    TombstoneMessage {
        day: *day,
        keys: keys.iter().flat_map(|key| key.0).collect(),
    }
}

fn decode_record(message: RecordMessage) -> Result<Record, Corrupt> {
    let state = if message.done {
        State::Done(message.reply.map(decode_reply).transpose()?)
    } else {
        State::Claimed
    };
    Ok(Record {
        key: Key(decode_hash(&message.key)?),
        body: BodyHash(decode_hash(&message.body)?),
        nonce: message.nonce,
        claimed_at: message.claimed_at,
        state,
    })
}

fn decode_reply(message: ReplyMessage) -> Result<Reply, Corrupt> {
    Ok(Reply {
        status: u16::try_from(message.status).map_err(|_| Corrupt::Encoding)?,
        content_type: message.content_type.into(),
        body: message.body,
    })
}

fn decode_hash(bytes: &[u8]) -> Result<[u8; HASH_BYTES], Corrupt> {
    bytes.try_into().map_err(|_| Corrupt::Encoding)
}

fn decode_keys(bytes: &[u8]) -> Result<BTreeSet<Key>, Corrupt> {
    bytes
        .chunks(HASH_BYTES)
        .map(|hash| decode_hash(hash).map(Key))
        .collect()
}
