//! Decodes the frames that the simulator sends, and encodes the replies. The names of record variants and their fields
//! are those of the simulator's protocol.

use bytes::{Buf, BufMut};
use std::fmt;

/// Why a frame cannot be decoded, and at which offset.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Malformed {
    pub offset: usize,
    pub reason: String,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "offset {}: {}", self.offset, self.reason)
    }
}

/// IPv4 address and port.
pub(crate) type Address = ([u8; 4], u16);

/// One entry of an [`InputRecord::Roster`].
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RosterEntry {
    pub family_type: u8,
    pub online_since_s: f64,
    pub region_part: u8,
    pub bay: u16,
    pub power_hint: f32,
    pub cache: Address,
    pub status: u8,
}

/// A record that the simulator sends.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum InputRecord {
    At(u32),
    Start {
        prng: u64,
        env: String,
    },
    Roster {
        slot: u8,
        hosts: Vec<RosterEntry>,
    },
    PeersKnown {
        mode: u8,
        slot: u8,
    },
    Inbound {
        id: u32,
        slice: f32,
        length_kb: f32,
        asset: u64,
        expires_s: f64,
        lane: u16,
        batch_id: f32,
    },
    First {
        id: u32,
    },
    Halt,
    Heard {
        author: u16,
        octets: Vec<u8>,
    },
    Done(Done),
    Expired {
        id: u32,
    },
    Ring {
        handle: u32,
    },
    Probed {
        cache: Address,
        disposition: u16,
        delay_seen_s: f64,
        health_info: Vec<f32>,
    },
    Invalidated {
        asset: u64,
        batch_id: u16,
        oldness_s: f64,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Done {
    pub id: u32,
    pub go: u8,
    pub cache: Address,
    pub disposition: u16,
    pub delay_seen_s: f64,
    pub finished: bool,
    pub note: u8,
    pub first_byte_s: f64,
    pub health_info: Vec<f32>,
}

/// A decoded frame.
#[derive(Debug, PartialEq)]
pub(crate) struct Batch {
    pub clock: f64,
    pub number: u32,
    /// The records with their offsets in the frame.
    pub records: Vec<(usize, InputRecord)>,
}

/// Reads the fields of a frame or a record. A field beyond the end is an error that contains its offset.
struct FieldReader<'a> {
    rest: &'a [u8],
    offset: usize,
}

macro_rules! fields {
    ($($name:ident $get:ident $kind:ty;)*) => {
        $(fn $name(&mut self) -> Result<$kind, Malformed> {
            let offset = self.offset;
            let value = self.rest.$get().map_err(|_| Malformed { offset, reason: "record is too short".into() })?;
            self.offset += size_of::<$kind>();
            Ok(value)
        })*
    };
}

impl<'a> FieldReader<'a> {
    fields! {
        u8 try_get_u8 u8;
        u16 try_get_u16_le u16;
        u32 try_get_u32_le u32;
        u64 try_get_u64_le u64;
        f32 try_get_f32_le f32;
        f64 try_get_f64_le f64;
    }

    fn bytes(&mut self, n: usize) -> Result<&'a [u8], Malformed> {
        let reason = || format!("{n} bytes expected, but only {} are left", self.rest.len());
        let (bytes, rest) = self.rest.split_at_checked(n).ok_or_else(|| Malformed {
            offset: self.offset,
            reason: reason(),
        })?;
        self.rest = rest;
        self.offset += n;
        Ok(bytes)
    }

    fn address(&mut self) -> Result<Address, Malformed> {
        let b = self.bytes(4)?;
        Ok(([b[0], b[1], b[2], b[3]], self.u16()?))
    }

    fn load_report(&mut self) -> Result<Vec<f32>, Malformed> {
        (0..self.u8()?).map(|_| self.f32()).collect()
    }

    fn roster_entry(&mut self) -> Result<RosterEntry, Malformed> {
        Ok(RosterEntry {
            family_type: self.u8()?,
            online_since_s: self.f64()?,
            region_part: self.u8()?,
            bay: self.u16()?,
            power_hint: self.f32()?,
            cache: self.address()?,
            status: self.u8()?,
        })
    }

    /// Reads the fields of a record. Returns `None` if the code is unknown.
    fn input_record(&mut self, code: u16) -> Result<Option<InputRecord>, Malformed> {
        Ok(Some(match code {
            268 => InputRecord::At(self.u32()?),
            256 => {
                let (prng, n) = (self.u64()?, self.u32()? as usize);
                InputRecord::Start {
                    prng,
                    env: String::from_utf8_lossy(self.bytes(n)?).into_owned(),
                }
            }
            267 => {
                let (slot, n) = (self.u8()?, self.u32()?);
                InputRecord::Roster {
                    slot,
                    hosts: (0..n)
                        .map(|_| self.roster_entry())
                        .collect::<Result<_, _>>()?,
                }
            }
            257 => {
                let (mode, _, slot) = (self.u8()?, self.u64()?, self.u8()?);
                InputRecord::PeersKnown { mode, slot }
            }
            258 => {
                let (id, slice, length_kb, asset) =
                    (self.u32()?, self.f32()?, self.f32()?, self.u64()?);
                let (expires_s, _realm, lane, _attrs) =
                    (self.f64()?, self.u16()?, self.u16()?, self.u16()?);
                InputRecord::Inbound {
                    id,
                    slice,
                    length_kb,
                    asset,
                    expires_s,
                    lane,
                    batch_id: self.f32()?,
                }
            }
            259 => InputRecord::First { id: self.u32()? },
            265 => InputRecord::Halt,
            264 => {
                let (author, n) = (self.u16()?, self.u16()? as usize);
                InputRecord::Heard {
                    author,
                    octets: self.bytes(n)?.to_vec(),
                }
            }
            260 => InputRecord::Done(Done {
                id: self.u32()?,
                go: self.u8()?,
                cache: self.address()?,
                disposition: self.u16()?,
                delay_seen_s: self.f64()?,
                finished: self.u8()? != 0,
                note: self.u8()?,
                first_byte_s: self.f64()?,
                health_info: self.load_report()?,
            }),
            261 => InputRecord::Expired { id: self.u32()? },
            262 => InputRecord::Ring {
                handle: self.u32()?,
            },
            263 => InputRecord::Probed {
                cache: self.address()?,
                disposition: self.u16()?,
                delay_seen_s: self.f64()?,
                health_info: self.load_report()?,
            },
            266 => InputRecord::Invalidated {
                asset: self.u64()?,
                batch_id: self.u16()?,
                oldness_s: self.f64()?,
            },
            _ => return Ok(None),
        }))
    }
}

/// Decodes a frame without its length field. Records with unknown codes are skipped.
pub(crate) fn read(frame: &[u8]) -> Result<Batch, Malformed> {
    // Offsets in errors count from the length field, which takes the first 4 bytes.
    let mut reader = FieldReader {
        rest: frame,
        offset: 4,
    };
    let (clock, count, number) = (reader.f64()?, reader.u32()?, reader.u32()?);
    let mut records = Vec::new();
    for _ in 0..count {
        let start = reader.offset;
        let (code, n) = (reader.u16()?, reader.u32()? as usize);
        let mut fields = FieldReader {
            offset: reader.offset,
            rest: reader.bytes(n)?,
        };
        if let Some(record) = fields.input_record(code)? {
            records.push((start, record));
        }
    }
    if !reader.rest.is_empty() {
        let reason = format!("{} bytes after the last record", reader.rest.len());
        return Err(Malformed {
            offset: reader.offset,
            reason,
        });
    }
    Ok(Batch {
        clock,
        number,
        records,
    })
}

/// A record of a reply.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ReplyRecord {
    Speaking(u32),
    Route {
        id: u32,
        cache: Address,
        limit_s: f64,
    },
    Obtain {
        id: u32,
        cache: Address,
        limit_s: f64,
        supplier: Address,
        admit: u8,
        oldness_s: f64,
        mode: u8,
    },
    OverloadReply {
        id: u32,
        cool_down_s: f64,
    },
    Surrender {
        id: u32,
    },
    Revoke {
        id: u32,
        go: u8,
    },
    Defer {
        alarm_time_s: f64,
        handle: u32,
    },
    Emit(String),
    GiveIn(String),
    Track(bool),
}

fn put_address(b: &mut Vec<u8>, a: Address) {
    b.put_slice(&a.0);
    b.put_u16_le(a.1);
}

/// Appends a text with its length, truncated to the largest length that the length field can hold.
fn put_text(b: &mut Vec<u8>, text: &str) {
    let length = text.floor_char_boundary(usize::from(u16::MAX));
    b.put_u16_le(length as u16);
    b.put_slice(&text.as_bytes()[..length]);
}

/// Appends the fields of a record. Returns its code.
fn put_reply_record(b: &mut Vec<u8>, record: &ReplyRecord) -> u16 {
    match record {
        ReplyRecord::Speaking(instance) => {
            b.put_u32_le(*instance);
            333
        }
        ReplyRecord::Route { id, cache, limit_s } => {
            b.put_u32_le(*id);
            put_address(b, *cache);
            b.put_f64_le(*limit_s);
            320
        }
        ReplyRecord::Obtain {
            id,
            cache,
            limit_s,
            supplier,
            admit,
            oldness_s,
            mode,
        } => {
            b.put_u32_le(*id);
            put_address(b, *cache);
            b.put_f64_le(*limit_s);
            put_address(b, *supplier);
            b.put_u8(*admit);
            b.put_f64_le(*oldness_s);
            b.put_u8(*mode);
            332
        }
        ReplyRecord::OverloadReply { id, cool_down_s } => {
            b.put_u32_le(*id);
            b.put_f64_le(*cool_down_s);
            321
        }
        ReplyRecord::Surrender { id } => {
            b.put_u32_le(*id);
            322
        }
        ReplyRecord::Revoke { id, go } => {
            b.put_u32_le(*id);
            b.put_u8(*go);
            323
        }
        ReplyRecord::Defer {
            alarm_time_s,
            handle,
        } => {
            b.put_f64_le(*alarm_time_s);
            b.put_u32_le(*handle);
            324
        }
        ReplyRecord::Emit(text) => {
            put_text(b, text);
            328
        }
        ReplyRecord::GiveIn(text) => {
            put_text(b, text);
            329
        }
        ReplyRecord::Track(on) => {
            b.put_u8(u8::from(*on));
            330
        }
    }
}

/// Encodes a reply frame, including its length field.
pub(crate) fn write(number: u32, records: &[ReplyRecord]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(12 + records.len() * 48);
    frame.put_u32_le(0);
    frame.put_u32_le(records.len() as u32);
    frame.put_u32_le(number);
    let mut body = Vec::new();
    for record in records {
        body.clear();
        let code = put_reply_record(&mut body, record);
        frame.put_u16_le(code);
        frame.put_u32_le(body.len() as u32);
        frame.put_slice(&body);
    }
    let length = (frame.len() - 4) as u32;
    frame[..4].copy_from_slice(&length.to_le_bytes());
    frame
}

#[cfg(test)]
mod tests {
    use super::*;

    fn hex(text: &str) -> Vec<u8> {
        let digits: Vec<u32> = text.chars().filter_map(|c| c.to_digit(16)).collect();
        digits.chunks(2).map(|d| (d[0] * 16 + d[1]) as u8).collect()
    }

    const CACHE: Address = ([0x0a, 0x12, 0x4a, 0x07], 0x1f43);

    const TWO_INSTANCES: &str = "508d976e12d32040 05000000 0c000000 0c01 04000000 03000000
        0201 26000000 c4913a5d 00004040 00002044 640ad2557c3bf091 cba145b6f34d2140 0000 0000 0100 00003041
        0601 04000000 4d000000 0c01 04000000 05000000 0501 04000000 192b6f0e";

    #[test]
    fn reads_events_for_two_instances() {
        let batch = read(&hex(TWO_INSTANCES)).unwrap();
        let kinds: Vec<_> = batch.records.iter().map(|r| &r.1).collect();
        assert_eq!((batch.number, batch.records.len()), (12, 5));
        assert!(
            matches!(kinds[0], InputRecord::At(3))
                && matches!(kinds[2], InputRecord::Ring { handle: 77 })
        );
        assert!(
            matches!(kinds[1], InputRecord::Inbound { id: 0x5d3a91c4, slice, length_kb, batch_id, .. }
            if *slice == 3.0 && *length_kb == 640.0 && *batch_id == 11.0)
        );
        assert!(matches!(kinds[4], InputRecord::Expired { id: 0x0e6f2b19 }));
    }

    #[test]
    fn reads_rosters_outcomes_and_invalidations() {
        let frame = "508d976e12d32040 04000000 01000000 0b01 33000000 00 02000000
            00 0000000000000000 00 0000 0000803f 0a124a07 431f 00
            00 6666666666661840 01 0000 0000c03f 0a9011f2 6c1f 00 0101 0a000000 00 2900000000000000 00
            0401 2c000000 c4913a5d 00 0a124a07 431f 6400 8b6ce7fba9f1923f 01 02 55c1a8a44e40833f
            03 52b81e3f0000a03fcdcccc3e 0a01 12000000 010ad2557c000000 0b00 c3f5285c8fc2b53f";
        let records = read(&hex(frame)).unwrap().records;
        assert!(
            matches!(&records[0].1, InputRecord::Roster { slot: 0, hosts }
            if hosts[0].cache == CACHE && hosts[1].power_hint == 1.5 && hosts[1].online_since_s == 6.1)
        );
        assert!(matches!(
            records[1].1,
            InputRecord::PeersKnown { mode: 0, slot: 0 }
        ));
        assert!(matches!(&records[2].1, InputRecord::Done(d)
            if d.disposition == 100 && d.finished && d.note == 2 && d.health_info.len() == 3));
        assert!(
            matches!(records[3].1, InputRecord::Invalidated { batch_id: 11, oldness_s, .. } if oldness_s == 0.085)
        );
    }

    #[test]
    fn encodes_replies_to_the_expected_bytes() {
        assert_eq!(write(1, &[]), hex("08000000 00000000 01000000"));
        let records = [
            ReplyRecord::Speaking(3),
            ReplyRecord::Route {
                id: 0x5d3a91c4,
                cache: CACHE,
                limit_s: 0.08,
            },
            ReplyRecord::Defer {
                alarm_time_s: f64::from_bits(0x4021d3126e978d50),
                handle: 77,
            },
            ReplyRecord::Speaking(5),
            ReplyRecord::Emit("two servers known".into()),
        ];
        let want = "5f000000 05000000 0c000000 4d01 04000000 03000000
            4001 12000000 c4913a5d 0a124a07 431f 7b14ae47e17ab43f 4401 0c000000 508d976e12d32140 4d000000
            4d01 04000000 05000000 4801 13000000 1100 74776f2073657276657273206b6e6f776e";
        assert_eq!(write(12, &records), hex(want));
        let obtain = ReplyRecord::Obtain {
            id: 0x5d3a91c4,
            cache: CACHE,
            limit_s: 0.9,
            supplier: ([0x0a, 0x90, 0x11, 0xf2], 0x1f6c),
            admit: 2,
            oldness_s: 1.5,
            mode: 9,
        };
        let want =
            "4c01 22000000 c4913a5d 0a124a07 431f cdccccccccccec3f 0a9011f2 6c1f 02 000000000000f83f 09";
        assert_eq!(write(1, &[obtain])[12..], hex(want));
    }

    #[test]
    fn errors_contain_the_offset_and_unknown_records_are_skipped() {
        assert_eq!(read(&hex(TWO_INSTANCES)[..30]).unwrap_err().offset, 32);
        assert_eq!(read(&[0; 5]).unwrap_err().offset, 4);
        let extra = hex("508d976e12d32040 00000000 01000000 ff");
        assert_eq!(read(&extra).unwrap_err().offset, 20);
        let unknown = hex("508d976e12d32040 01000000 01000000 ffff 02000000 0102");
        assert!(read(&unknown).unwrap().records.is_empty());
        let short = hex("508d976e12d32040 01000000 01000000 0c01 02000000 0102");
        assert_eq!(read(&short).unwrap_err().offset, 26);
    }
}
