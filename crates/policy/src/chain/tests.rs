//! Tests the choice of the level from which placement starts.

use super::{Chain, Salt};

const PIECE: usize = 1 << 20;

fn base(segments: &[usize]) -> usize {
    let texts: Vec<Vec<u8>> = segments.iter().map(|length| vec![b'x'; *length]).collect();
    let salt = Salt::new("team", "model", "", "v1");
    Chain::new(salt, PIECE, texts.iter().map(Vec::as_slice)).base()
}

// Guards against placement by a short system prompt, which would put all documents of a team on one server.
#[test]
fn a_document_outweighs_a_system_prompt() {
    assert_eq!(base(&[2_000, 8_000, 160]), 1);
    assert_eq!(base(&[2_000, 8_000, 160, 200, 160]), 1, "stable over turns");
}

// Guards against placement by a later, shorter message, and against a panic for an empty prompt.
#[test]
fn a_long_first_message_stays_the_base() {
    assert_eq!(base(&[8_000, 2_000, 160]), 0);
    assert_eq!(base(&[8_000]), 0);
    assert_eq!(base(&[]), 0);
}
