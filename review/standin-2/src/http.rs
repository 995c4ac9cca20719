//! Plain HTTP/1.1 on blocking sockets: reads requests and answers.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request, or an answer, whose first line is in `first`.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// A word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn length(&self) -> usize {
        self.header("content-length").and_then(|text| text.trim().parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the stream.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a whole message with a length; `None` at the end of the stream.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    message.body = vec![0; message.length()];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes an answer with a body in JSON.
pub fn write_json(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// Sends a request on a connection of its own and reads the answer.
pub fn call(address: SocketAddr, request: &[u8], wait: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    (&stream).write_all(request)?;
    read_message(&mut BufReader::new(&stream))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
