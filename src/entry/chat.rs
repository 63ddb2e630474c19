//! Parses the fields of a chat-completion request that routing needs, and skips the rest.

use std::borrow::Cow;
use std::{fmt, result};

use serde::de::{self, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use xxhash_rust::xxh3;

/// The result of parsing a chat-completion request.
pub type Result<T> = result::Result<T, ChatError>;

/// The estimated number of answer tokens if the caller sets no limit.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// The approximate number of bytes of text per token.
const BYTES_PER_TOKEN: u64 = 4;
/// Bytes at the start of the first message that identify a cached prefix.
const AFFINITY_BYTES: usize = 512;

/// The body is not a valid chat-completion request.
#[derive(Debug, thiserror::Error)]
#[error("The body is not a chat-completion request: {0}.")]
pub struct ChatError(#[from] serde_json::Error);

/// The properties of a chat-completion request that routing needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChatRequest {
    /// The name of the requested model.
    pub model: String,
    /// True if the caller asks for a streamed answer.
    pub stream: bool,
    /// The number of prompt and answer tokens, estimated from the body's length and the caller's
    /// limit.
    pub estimated_tokens: u64,
    /// A hash of the model and the start of the first message.
    pub affinity: u64,
}

/// Parses a chat-completion request.
///
/// # Errors
///
/// Returns [`ChatError`] if the body is not JSON, or has no model or no messages.
pub fn parse(body: &[u8]) -> Result<ChatRequest> {
    let head: Head<'_> = serde_json::from_slice(body)?;
    let prompt_tokens = u64::try_from(body.len()).unwrap_or(u64::MAX) / BYTES_PER_TOKEN;
    let answer_tokens = head.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    Ok(ChatRequest {
        affinity: affinity(&head),
        model: head.model.into_owned(),
        stream: head.stream,
        estimated_tokens: prompt_tokens.saturating_add(answer_tokens),
    })
}

fn affinity(head: &Head<'_>) -> u64 {
    let text = head.first_message.as_bytes();
    let prefix = &text[..text.len().min(AFFINITY_BYTES)];
    xxh3::xxh3_64_with_seed(prefix, xxh3::xxh3_64(head.model.as_bytes()))
}

/// The parsed fields. They are deserialized by hand to skip the other messages, which can be long,
/// since every chat request is parsed here.
struct Head<'a> {
    model: Cow<'a, str>,
    stream: bool,
    max_tokens: Option<u64>,
    first_message: Cow<'a, str>,
}

impl<'de> Deserialize<'de> for Head<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> result::Result<Self, D::Error> {
        deserializer.deserialize_map(HeadVisitor)
    }
}

struct HeadVisitor;

impl<'de> Visitor<'de> for HeadVisitor {
    type Value = Head<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object with `model` and `messages`")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> result::Result<Head<'de>, A::Error> {
        let (mut model, mut first_message) = (None, None);
        let (mut stream, mut max_tokens) = (None::<bool>, None::<u64>);
        while let Some(Text(key)) = map.next_key()? {
            match key.as_ref() {
                "model" => model = Some(map.next_value::<Text<'de>>()?.0),
                "messages" => first_message = Some(map.next_value::<Messages<'de>>()?.0),
                "stream" => stream = map.next_value()?,
                "max_tokens" | "max_completion_tokens" => max_tokens = map.next_value()?,
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(Head {
            model: model.ok_or_else(|| de::Error::missing_field("model"))?,
            first_message: first_message.ok_or_else(|| de::Error::missing_field("messages"))?,
            stream: stream.unwrap_or_default(),
            max_tokens,
        })
    }
}

#[derive(Deserialize)]
struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

/// The text of the first message; empty if its content is not plain text.
struct Messages<'a>(Cow<'a, str>);

impl<'de> Deserialize<'de> for Messages<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> result::Result<Self, D::Error> {
        deserializer.deserialize_seq(MessagesVisitor)
    }
}

struct MessagesVisitor;

impl<'de> Visitor<'de> for MessagesVisitor {
    type Value = Messages<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of messages, not empty")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> result::Result<Messages<'de>, A::Error> {
        let first = seq.next_element::<Message<'de>>()?;
        let first = first.ok_or_else(|| de::Error::invalid_length(0, &self))?;
        while seq.next_element::<IgnoredAny>()?.is_some() {}
        Ok(Messages(match first.content {
            Some(Content::Text(text)) => text,
            Some(Content::Parts(_)) | None => Cow::Borrowed(""),
        }))
    }
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow, default)]
    content: Option<Content<'a>>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content<'a> {
    Text(#[serde(borrow)] Cow<'a, str>),
    Parts(IgnoredAny),
}
