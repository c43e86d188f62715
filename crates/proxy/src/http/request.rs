//! The request of one attempt. Each header of the wire is mapped to its term here:
//!
//! | wire | term |
//! | --- | --- |
//! | `X-Req` | request id |
//! | `X-Wait-Ms` | timeout: how long this proxy waits for the response |
//! | `Upstream` | source of a fill |
//! | `Retain` | retention rank of a fill |
//! | `Oldest-Ms` | greatest age of a copy that will do |
//! | `Modes: ride` | join a fill that is under way |
//! | `Modes: have-only` | the source gives only what it has cached |
//! | `Modes: update` | revalidate a stale copy in the background |

/// A request; one field or header each.
pub(crate) struct Request<'a> {
    pub host: &'a str,
    pub class: &'a str,
    pub object_id: &'a str,
    pub part: u32,
    pub request_id: &'a str,
    pub timeout_ms: i64,
    pub idempotency_key: Option<&'a str>,
    /// Where to fill from.
    pub source: Option<&'a str>,
    /// 0 for none.
    pub retention: u8,
    /// 0 for the freshness lifetime of the class.
    pub max_age_ms: i64,
    pub join_fill: bool,
    pub cached_only: bool,
    pub revalidate: bool,
    /// Tag of the copy that the client has.
    pub known_version: Option<&'a str>,
    pub body: &'a [u8],
}

impl Request<'_> {
    /// Appends the request, piece by piece: the formatting machinery would show in the cost of a hit.
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
        // Endpoints answer any method but this one with 400, also where a body comes along.
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
        let mut before = "Modes: ";
        for (_, mode) in modes.into_iter().filter(|m| m.0) {
            put(&[before, mode]);
            before = "+";
        }
        if before == "+" {
            put(&["\r\n"]);
        }
        if !self.body.is_empty() {
            put(&["Content-Length: ", more.format(self.body.len()), "\r\n"]);
        }
        put(&["\r\n"]);
        out.extend_from_slice(self.body);
    }
}
