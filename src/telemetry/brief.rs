//! Text of others in log lines, which may be as long as they like.

use std::fmt;

/// Bytes of a text that a log line quotes.
const MAX_BYTES: usize = 200;

/// Displays the beginning of a text, followed by its length in bytes if it is cut.
#[derive(Clone, Copy, Debug)]
pub struct Brief<'a>(pub &'a str);

impl fmt::Display for Brief<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self(text) = self;
        if text.len() <= MAX_BYTES {
            return f.write_str(text);
        }
        let end = (0..=MAX_BYTES).rev().find(|end| text.is_char_boundary(*end)).unwrap_or(0);
        write!(f, "{}...({} bytes)", &text[..end], text.len())
    }
}
