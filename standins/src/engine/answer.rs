//! The text of the engine's answers, which tests compute from the request alone.

use super::messages::Message;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the complete answer to a request that does not resume.
pub fn expected_answer(model: &str, messages: &[Message], max_tokens: usize) -> String {
    expected_tokens(model, messages, max_tokens).concat()
}

/// Returns the tokens of the answer; each event of a streamed answer carries one.
///
/// Every token contains its index and a digest of the request and that index, so that tests detect
/// a token that is lost, duplicated or from another request.
pub fn expected_tokens(model: &str, messages: &[Message], max_tokens: usize) -> Vec<String> {
    let request = messages.iter().fold(hash(FNV_OFFSET, model), |state, message| {
        hash(hash(state, &message.role), &message.content)
    });
    let token = |index: usize| {
        let digest = hash(request, &index.to_string()) & 0xffff;
        format!("{index}:{digest:04x} ")
    };
    (0..max_tokens).map(token).collect()
}

/// Continues an FNV-1a hash with a text and a terminating zero byte.
fn hash(state: u64, text: &str) -> u64 {
    let bytes = text.bytes().chain([0]);
    bytes.fold(state, |state, byte| (state ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
