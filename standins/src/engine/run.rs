//! One run of a request, which generates its tokens one by one at the engine's speed.

use std::sync::Arc;

use tokio::time;

use super::Engine;
use super::answer;
use super::messages::{
    ChatChunk, ChatCompletion, ChatRequest, Choice, ChunkChoice, Delta, Message, Usage,
};
use super::slots::Slot;
use crate::reply::{self, ConnectionAborted};

const ASSISTANT: &str = "assistant";
const STOP: &str = "stop";

/// The generation of the answer to one request; dropping it before the end cancels it.
pub(super) struct Run {
    engine: Arc<Engine>,
    id: String,
    key: String,
    req: ChatRequest,
    tokens: Vec<String>,
    next_index: usize,
    slot: Option<Slot>,
    finished: bool,
}

impl Run {
    /// Returns the run of a validated request, which is counted under `key`.
    pub(super) fn new(engine: Arc<Engine>, key: String, req: ChatRequest) -> Self {
        let tokens = answer::expected_tokens(&req.model, &req.messages, req.max_tokens);
        let id = engine.next_run_id();
        let next_index = req.resume_from;
        Self { engine, id, key, req, tokens, next_index, slot: None, finished: false }
    }

    /// Returns the next token, or `None` after the last one.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionAborted`] if the connection is to be closed at this token.
    pub(super) async fn next_token(&mut self) -> Result<Option<String>, ConnectionAborted> {
        self.start().await;
        let Some(token) = self.tokens.get(self.next_index).cloned() else {
            self.finish();
            return Ok(None);
        };
        if self.engine.aborts_after(self.next_index - self.req.resume_from) {
            return Err(reply::flush_before_abort().await);
        }
        time::sleep(self.engine.options.token_time).await;
        self.engine.wait_for_stall_end().await;
        self.next_index += 1;
        Ok(Some(token))
    }

    /// Generates all tokens and returns the complete answer.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionAborted`] if the connection is to be closed before the last token.
    pub(super) async fn complete(mut self) -> Result<ChatCompletion, ConnectionAborted> {
        let mut content = String::new();
        while let Some(token) = self.next_token().await? {
            content.push_str(&token);
        }
        let message = Message { role: ASSISTANT.to_owned(), content };
        let choice = Choice { index: 0, message, finish_reason: STOP.to_owned() };
        Ok(ChatCompletion {
            id: self.id.clone(),
            object: "chat.completion".to_owned(),
            model: self.req.model.clone(),
            system_fingerprint: self.engine.options.name.clone(),
            choices: vec![choice],
            usage: self.usage(),
        })
    }

    /// Returns the chunk for one token.
    pub(super) fn token_chunk(&self, token: String) -> ChatChunk {
        let delta = Delta { role: Some(ASSISTANT.to_owned()), content: Some(token) };
        self.chunk(ChunkChoice { index: 0, delta, finish_reason: None }, None)
    }

    /// Returns the chunk after the last token, which carries the usage.
    pub(super) fn last_chunk(&self) -> ChatChunk {
        let finish_reason = Some(STOP.to_owned());
        let choice = ChunkChoice { index: 0, delta: Delta::default(), finish_reason };
        self.chunk(choice, Some(self.usage()))
    }

    fn chunk(&self, choice: ChunkChoice, usage: Option<Usage>) -> ChatChunk {
        ChatChunk {
            id: self.id.clone(),
            object: "chat.completion.chunk".to_owned(),
            model: self.req.model.clone(),
            system_fingerprint: self.engine.options.name.clone(),
            choices: vec![choice],
            usage,
        }
    }

    async fn start(&mut self) {
        if self.slot.is_some() || self.finished {
            return;
        }
        self.slot = Some(self.engine.slots.acquire(self.req.priority).await);
        self.engine.count_start(&self.key);
        self.engine.crash_if_requested(&self.req.prompt());
        time::sleep(self.engine.options.first_token_time).await;
    }

    fn finish(&mut self) {
        self.finished = true;
        self.slot = None;
        self.engine.count_finish();
    }

    fn usage(&self) -> Usage {
        let prompt_tokens = self.req.prompt().split_whitespace().count();
        let completion_tokens = self.next_index - self.req.resume_from;
        let total_tokens = prompt_tokens + completion_tokens;
        Usage { prompt_tokens, completion_tokens, total_tokens }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.finished {
            self.engine.count_cancel();
        }
    }
}
