//! Reads what decisions need of a chat-completion request, and leaves the rest alone.

use std::borrow::Cow;
use std::{fmt, result};

use serde::de::{self, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use xxhash_rust::xxh3;

/// The result of reading a chat request.
pub type Result<T> = result::Result<T, ChatError>;

/// Answer tokens to expect where the caller sets no bound.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// Bytes of text for each token, roughly.
const BYTES_PER_TOKEN: u64 = 4;
/// Bytes of the first message that name a cached prefix.
const AFFINITY_BYTES: usize = 512;

/// ChatError says that a body is no chat-completion request.
#[derive(Debug, thiserror::Error)]
#[error("The body is no chat-completion request: {0}.")]
pub struct ChatError(#[from] serde_json::Error);

/// ChatRequest is what decisions need of a chat-completion request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChatRequest {
    /// The model that is asked for.
    pub model: String,
    /// True where the answer is to be streamed.
    pub stream: bool,
    /// Prompt and answer tokens, as estimated from lengths.
    pub estimated_tokens: u64,
    /// Hash of the model and the first message's beginning.
    pub affinity: u64,
}

/// Reads a chat request.
///
/// # Errors
///
/// Returns [`ChatError`] where the body is not JSON, or has no model or no messages.
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

/// Head is read by hand, since each request passes here and messages can be long.
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

/// Messages keeps the first message's text, or nothing where it is not plain text.
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
