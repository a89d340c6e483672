//! Tests of the event decoder with pieces of any size, all line endings and unbounded events, and of the encoder.

use bytes::{Bytes, BytesMut};
use jaystand_wire::sse::{Decoder, Error, Event, encode};
use proptest::prelude::*;

fn decode(pieces: &[&[u8]]) -> Result<Vec<Event>, Error> {
    let mut decoder = Decoder::default();
    let mut events = Vec::new();
    for piece in pieces {
        decoder.push(piece);
        while let Some(event) = decoder.next_event()? {
            events.push(event);
        }
    }
    Ok(events)
}

fn event(offset: Option<u64>, name: &'static str, data: &'static str) -> Event {
    Event {
        offset,
        name: Bytes::from_static(name.as_bytes()),
        data: Bytes::from_static(data.as_bytes()),
    }
}

const STREAM: &[u8] = b"\xef\xbb\xbf: comment\r\nid: 7\r\nevent: note\r\ndata: a\r\ndata:b\r\n\r\n\
id: 8\ndata\n\ndata: c\r\rretry: 3\nid: 9\n\ndata: [DONE]\n\n";

// Guards against events that are lost or added when a piece of the stream ends inside a line or a line ending.
#[test]
fn a_stream_cut_at_any_byte_gives_the_same_events() {
    let expected = vec![
        event(Some(7), "note", "a\nb"),
        event(Some(8), "", ""),
        event(None, "", "c"),
        event(None, "", "[DONE]"),
    ];
    assert_eq!(decode(&[STREAM]).expect("valid"), expected);
    for cut in 0..STREAM.len() {
        let (head, tail) = STREAM.split_at(cut);
        assert_eq!(
            decode(&[head, tail]).expect("valid"),
            expected,
            "cut at {cut}"
        );
    }
    let bytes: Vec<&[u8]> = STREAM.chunks(1).collect();
    assert_eq!(decode(&bytes).expect("valid"), expected);
}

// Guards against an event without end that fills the memory, and against a bound that counts several events as one.
#[test]
fn events_over_the_bound_are_refused() {
    for stream in [
        &b"data: 0123456789abcdef"[..],
        b"data: 01234\ndata: 56789\n\n",
    ] {
        let mut decoder = Decoder::new(16);
        decoder.push(stream);
        assert_eq!(decoder.next_event(), Err(Error::TooLarge(16)));
    }
    let mut decoder = Decoder::new(16);
    decoder.push(b"data: 0123456789\n\ndata: 0123456789\n\n");
    assert!(decoder.next_event().expect("small").is_some());
    assert!(decoder.next_event().expect("small").is_some());
}

// Guards against ids that are taken for offsets although the engine protocol allows only digits. Rust parses `+1` as a
// number.
#[test]
fn ids_that_are_not_offsets_are_refused() {
    for id in ["x", "+1", "-1", "1 ", "18446744073709551616", "\u{661}"] {
        let stream = format!("id: {id}\ndata: a\n\n");
        assert_eq!(decode(&[stream.as_bytes()]), Err(Error::BadOffset), "{id}");
    }
}

proptest! {
    // Guards against encoded events that a decoder reads as other events, however the stream is cut.
    #[test]
    fn encoded_events_decode_to_themselves(
        events in prop::collection::vec((prop::option::of(any::<u64>()), "[a-z]{0,5}", "[^\r]{0,40}"), 0..8),
        cuts in prop::collection::vec(1_usize..9, 1..20),
    ) {
        let events: Vec<Event> = events
            .into_iter()
            .map(|(offset, name, data)| Event { offset, name: name.into(), data: data.into() })
            .collect();
        let mut encoded = BytesMut::new();
        for event in &events {
            encode(event, &mut encoded);
        }
        let mut pieces: Vec<&[u8]> = Vec::new();
        let mut rest = &encoded[..];
        for cut in cuts.iter().cycle() {
            if rest.is_empty() { break; }
            let (piece, remainder) = rest.split_at((*cut).min(rest.len()));
            pieces.push(piece);
            rest = remainder;
        }
        prop_assert_eq!(decode(&pieces), Ok(events));
    }

    // Guards against a panic on the bytes of a faulty engine. They must yield events or an error.
    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode(&[&bytes]);
    }
}
