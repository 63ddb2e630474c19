//! A small HTTP/1.1 for the stand-ins.

use std::io::{self, BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

#[derive(Debug, Default, Clone)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// A value of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| decode(value))
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads one message; `None` at the end of the connection.
pub fn read(reader: &mut BufReader<TcpStream>, is_answer: bool) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return match message.first.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let text = line.trim_end();
        if message.first.is_empty() {
            message.first = text.to_owned();
        } else if text.is_empty() {
            break;
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse::<usize>().ok());
    let chunked = message.header("transfer-encoding").is_some_and(|value| value == "chunked");
    if chunked {
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim_end(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = length {
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body)?;
    } else if is_answer {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

/// An answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}

/// Serves requests at a listener, one thread a connection. The handler returns `None` to close the
/// connection without an answer.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(Message) -> Option<Vec<u8>> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let connection = move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read(&mut reader, false) {
                    let Some(bytes) = handler(request) else { return };
                    if writer.write_all(&bytes).is_err() {
                        return;
                    }
                }
            };
            let _ = thread::Builder::new().stack_size(256 * 1024).spawn(connection);
        }
    });
}

/// Sends a request on a new connection and reads the answer.
pub fn call(
    address: SocketAddr,
    request: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let deadline = Instant::now() + timeout;
    let stream = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let left = deadline.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let mut text = format!("{request} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    read(&mut reader, true)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
