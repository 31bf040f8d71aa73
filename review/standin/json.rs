//! A small JSON reader, and base64 encoding, for the stand-in of the store.

/// A JSON value.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a text; `Null` if it is not valid.
    pub fn parse(text: &[u8]) -> Json {
        let mut reader = Reader { bytes: text, at: 0 };
        reader.value().unwrap_or(Json::Null)
    }

    /// Returns a field of an object.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => {
                let found = fields.iter().find(|(n, _)| n == name);
                found.map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(n) => *n as u64,
            _ => 0,
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn eat(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        let found = self.bytes.get(self.at..end)? == word.as_bytes();
        self.at = end;
        found.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => Some(Json::Text(self.string()?)),
            b't' => self.word("true", Json::Number(1.0)),
            b'f' => self.word("false", Json::Number(0.0)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        let is_digit = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
        while self.bytes.get(self.at).is_some_and(is_digit) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        Some(Json::Number(text.parse().ok()?))
    }

    fn string(&mut self) -> Option<String> {
        self.eat(b'"')?;
        let mut text = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(text).ok();
                }
                b'\\' => {
                    text.push(*self.bytes.get(self.at + 1)?);
                    self.at += 2;
                }
                byte => {
                    text.push(byte);
                    self.at += 1;
                }
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.eat(b'[')?;
        let mut items = Vec::new();
        while self.peek()? != b']' {
            items.push(self.value()?);
            let _ = self.eat(b',');
        }
        self.at += 1;
        Some(Json::List(items))
    }

    fn object(&mut self) -> Option<Json> {
        self.eat(b'{')?;
        let mut fields = Vec::new();
        while self.peek()? != b'}' {
            self.peek()?;
            let name = self.string()?;
            self.eat(b':')?;
            fields.push((name, self.value()?));
            let _ = self.eat(b',');
        }
        self.at += 1;
        Some(Json::Object(fields))
    }
}

/// The digits of base64.
const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Decodes a text from standard base64.
pub fn from_base64(text: &str) -> String {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for digit in text
        .bytes()
        .filter_map(|b| DIGITS.iter().position(|d| *d == b))
    {
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Encodes bytes in standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(*chunk.get(i).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i) & 63) as usize];
            text.push(if i <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
