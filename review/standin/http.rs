//! The parts of HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or an answer: its first line, its headers with lower-case names, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message; none if the connection has ended before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first_line = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = text.split_once(':').unwrap_or((text, ""));
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a message with a body of a stated length.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Sends one request on a connection of its own and reads the whole answer.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request)?;
    let mut reader = io::BufReader::new(stream);
    read_message(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// A request with a body, as bytes.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    [text.as_bytes(), body].concat()
}
