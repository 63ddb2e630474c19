//! The messages of the engine: the chat API, its load, its orders and its control.

use std::collections;

use serde::{Deserialize, Serialize};

const DEFAULT_MAX_TOKENS: usize = 16;

/// Message is one turn of the conversation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// ChatRequest asks for one answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatRequest {
    /// The model.
    pub model: String,
    /// The conversation.
    pub messages: Vec<Message>,
    /// The answer has exactly so many tokens.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: usize,
    /// True for server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// A waiting request with a lower number starts earlier.
    #[serde(default)]
    pub priority: i64,
    /// Tokens that the caller holds already; the answer begins after them.
    #[serde(default)]
    pub resume_from: usize,
}

fn default_max_tokens() -> usize {
    DEFAULT_MAX_TOKENS
}

impl ChatRequest {
    /// Returns all that was said, a line each.
    pub fn prompt(&self) -> String {
        let contents: Vec<_> =
            self.messages.iter().map(|message| message.content.as_str()).collect();
        contents.join("\n")
    }
}

/// Usage counts tokens.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Words of the prompt.
    pub prompt_tokens: usize,
    /// Tokens made by this run.
    pub completion_tokens: usize,
    /// Both together.
    pub total_tokens: usize,
}

/// ChatCompletion is a whole answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChatCompletion {
    /// The run.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// The model.
    pub model: String,
    /// The engine's name.
    pub system_fingerprint: String,
    /// One choice.
    pub choices: Vec<Choice>,
    /// What it cost.
    pub usage: Usage,
}

/// Choice holds the text of a whole answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Choice {
    /// Always zero.
    pub index: u32,
    /// The text.
    pub message: Message,
    /// Always `stop`.
    pub finish_reason: String,
}

/// ChatChunk is one event of a streamed answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChatChunk {
    /// The run.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// The model.
    pub model: String,
    /// The engine's name.
    pub system_fingerprint: String,
    /// One choice.
    pub choices: Vec<ChunkChoice>,
    /// What it cost, in the last chunk.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// ChunkChoice holds what a chunk adds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkChoice {
    /// Always zero.
    pub index: u32,
    /// The added text.
    pub delta: Delta,
    /// `stop` in the last chunk.
    pub finish_reason: Option<String>,
}

/// Delta is the added text: one token, or nothing in the last chunk.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// Who speaks, in chunks with text.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// The token.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Load is what the engine reports of itself, late.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Requests that hold a slot.
    pub running: usize,
    /// Requests that wait for one.
    pub waiting: usize,
    /// Slots in all.
    pub slots: usize,
}

/// OrderRequest is an order with the number that fences off older ones.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrderRequest {
    /// The number; it must not be lower than any taken before.
    pub fencing: u64,
    /// What to load; the stand-in only remembers it.
    pub order: serde_json::Value,
}

/// OrderResponse confirms an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderResponse {
    /// The engine's name.
    pub engine: String,
    /// The order's number.
    pub fencing: u64,
}

/// Behaviour is what goes wrong at present; each order replaces all of it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// The process aborts when a prompt that holds this starts to run.
    pub crash_on: Option<String>,
    /// The process aborts now.
    pub crash: bool,
    /// No token is made for so long from now on.
    pub stall_ms: u64,
    /// Every connection is cut after so many tokens of its run, if more would follow.
    pub cut_after_tokens: Option<usize>,
}

/// Runs counts what ran since the start.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Runs {
    /// Runs by `x-request-id`, or by prompt where a request has none.
    pub runs: collections::BTreeMap<String, u64>,
    /// Runs that got a slot.
    pub started: u64,
    /// Runs that made their last token.
    pub finished: u64,
    /// Requests given up before that, while running or waiting.
    pub cancelled: u64,
}
