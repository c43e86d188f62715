//! The request of one attempt. This module maps these terms to the headers of the wire format:
//!
//! | wire | term |
//! | --- | --- |
//! | `X-Req` | request id |
//! | `X-Wait-Ms` | timeout: how long this proxy waits for the response |
//! | `Upstream` | source of a fill |
//! | `Retain` | retention rank of a fill |
//! | `Oldest-Ms` | maximum age of an acceptable copy |
//! | `Modes: ride` | join a fill in progress |
//! | `Modes: have-only` | the source answers only from its cache |
//! | `Modes: update` | revalidate a stale copy in the background |

/// A request to an endpoint.
pub(crate) struct Request<'a> {
    pub host: &'a str,
    pub class: &'a str,
    pub object_id: &'a str,
    pub part: u32,
    pub request_id: &'a str,
    pub timeout_ms: i64,
    pub idempotency_key: Option<&'a str>,
    /// The source of a fill.
    pub source: Option<&'a str>,
    /// Retention rank of a fill, or 0 for none.
    pub retention: u8,
    /// Maximum age of an acceptable copy, or 0 for the freshness lifetime of the class.
    pub max_age_ms: i64,
    pub join_fill: bool,
    pub cached_only: bool,
    pub revalidate: bool,
    /// Tag of the client's copy.
    pub known_version: Option<&'a str>,
    pub body: &'a [u8],
}

impl Request<'_> {
    /// Appends the request to `out`. It is written in pieces, because formatting macros would add noticeable cost to a
    /// cache hit.
    pub(crate) fn write(&self, out: &mut Vec<u8>) {
        let mut digits = [
            itoa::Buffer::new(),
            itoa::Buffer::new(),
            itoa::Buffer::new(),
        ];
        let [part, timeout, more] = &mut digits;
        let mut put = |pieces: &[&str]| {
            pieces
                .iter()
                .for_each(|piece| out.extend_from_slice(piece.as_bytes()))
        };
        // Endpoints answer every method but GET with 400, even if the request has a body.
        put(&["GET /data/", self.class, "/", self.object_id, "/"]);
        put(&[part.format(self.part), " HTTP/1.1\r\n"]);
        put(&["Host: ", self.host, "\r\nX-Req: ", self.request_id]);
        put(&["\r\nX-Wait-Ms: ", timeout.format(self.timeout_ms), "\r\n"]);
        let texts = [
            ("Idempotency-Key: ", self.idempotency_key),
            ("Upstream: ", self.source),
            ("Known-Version: ", self.known_version),
        ];
        for (name, text) in texts {
            text.into_iter().for_each(|text| put(&[name, text, "\r\n"]));
        }
        if self.retention > 0 {
            put(&["Retain: ", more.format(self.retention), "\r\n"]);
        }
        if self.max_age_ms > 0 {
            put(&["Oldest-Ms: ", more.format(self.max_age_ms), "\r\n"]);
        }
        let modes = [
            (self.join_fill, "ride"),
            (self.cached_only, "have-only"),
            (self.revalidate, "update"),
        ];
        let mut separator = "Modes: ";
        for (_, mode) in modes.into_iter().filter(|m| m.0) {
            put(&[separator, mode]);
            separator = "+";
        }
        if separator == "+" {
            put(&["\r\n"]);
        }
        if !self.body.is_empty() {
            put(&["Content-Length: ", more.format(self.body.len()), "\r\n"]);
        }
        put(&["\r\n"]);
        out.extend_from_slice(self.body);
    }
}
