//! The framing of each protocol that an agent speaks: lines, RESP, HTTP heads and chunks. Contents are not interpreted.
use std::io::BufRead;

/// Reads a line, without its line ending; `None` at the end of the stream.
pub fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    reader
        .read_until(b'\n', &mut line)
        .ok()
        .filter(|read| *read > 0)?;
    Some(
        String::from_utf8_lossy(&line)
            .trim_end_matches(['\r', '\n'])
            .to_owned(),
    )
}

/// Reads a RESP command or answer as a text: the parts of an array are separated by spaces, a bulk string keeps its
/// `$`, and a null is `$-1`.
pub fn read_resp(reader: &mut impl BufRead) -> Option<String> {
    let head = read_line(reader)?;
    if let Some(count) = head.strip_prefix('*') {
        let parts: Option<Vec<String>> = (0..count.parse().ok()?)
            .map(|_| read_resp(reader))
            .collect();
        let parts = parts?;
        let words: Vec<&str> = parts
            .iter()
            .map(|part| part.trim_start_matches('$'))
            .collect();
        return Some(words.join(" "));
    }
    if let Some(length) = head.strip_prefix('$') {
        let Ok(length) = length.parse::<usize>() else {
            return Some("$-1".into());
        };
        let mut value = vec![0; length + "\r\n".len()];
        reader.read_exact(&mut value).ok()?;
        return Some(format!("${}", String::from_utf8_lossy(&value[..length])));
    }
    Some(head)
}

/// Encodes a RESP command.
pub fn encode_command(words: &[&str]) -> String {
    let bulk_string = |word: &&str| format!("${}\r\n{word}\r\n", word.len());
    format!(
        "*{}\r\n{}",
        words.len(),
        words.iter().map(bulk_string).collect::<String>()
    )
}

/// Reads the head of an HTTP request and returns its request line.
pub fn read_http_head(reader: &mut impl BufRead) -> Option<String> {
    let request_line = read_line(reader)?;
    while !read_line(reader)?.is_empty() {}
    Some(request_line)
}

/// Encodes a chunk of an HTTP body.
pub fn encode_http_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
