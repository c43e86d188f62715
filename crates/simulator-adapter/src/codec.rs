//! Frames of the simulator's wire: bytes to records and back, nothing else.

use bytes::{Buf, BufMut};
use std::fmt;

/// Why a frame could not be read, and where in it.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Malformed {
    pub offset: usize,
    pub what: String,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "offset {}: {}", self.offset, self.what)
    }
}

pub(crate) type Address = ([u8; 4], u16);

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Line {
    pub family_type: u8,
    pub online_since_s: f64,
    pub region_part: u8,
    pub bay: u16,
    pub power_hint: f32,
    pub cache: Address,
    pub status: u8,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Arrival {
    At(u32),
    Start {
        prng: u64,
        env: String,
    },
    Roster {
        slot: u8,
        hosts: Vec<Line>,
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

#[derive(Debug, PartialEq)]
pub(crate) struct Batch {
    pub clock: f64,
    pub number: u32,
    /// Each with its offset in the frame.
    pub records: Vec<(usize, Arrival)>,
}

/// The fields of one record; a short one is an error that names the place.
struct Fields<'a> {
    rest: &'a [u8],
    at: usize,
}

macro_rules! fields {
    ($($name:ident $get:ident $kind:ty;)*) => {
        $(fn $name(&mut self) -> Result<$kind, Malformed> {
            let offset = self.at;
            let got = self.rest.$get().map_err(|_| Malformed { offset, what: "record too short".into() })?;
            self.at += size_of::<$kind>();
            Ok(got)
        })*
    };
}

impl<'a> Fields<'a> {
    fields! {
        u8 try_get_u8 u8;
        u16 try_get_u16_le u16;
        u32 try_get_u32_le u32;
        u64 try_get_u64_le u64;
        f32 try_get_f32_le f32;
        f64 try_get_f64_le f64;
    }

    fn bytes(&mut self, n: usize) -> Result<&'a [u8], Malformed> {
        let what = || format!("{n} bytes announced, {} there", self.rest.len());
        let (got, rest) = self.rest.split_at_checked(n).ok_or_else(|| Malformed {
            offset: self.at,
            what: what(),
        })?;
        self.rest = rest;
        self.at += n;
        Ok(got)
    }

    fn address(&mut self) -> Result<Address, Malformed> {
        let b = self.bytes(4)?;
        Ok(([b[0], b[1], b[2], b[3]], self.u16()?))
    }

    fn loads(&mut self) -> Result<Vec<f32>, Malformed> {
        (0..self.u8()?).map(|_| self.f32()).collect()
    }

    fn line(&mut self) -> Result<Line, Malformed> {
        Ok(Line {
            family_type: self.u8()?,
            online_since_s: self.f64()?,
            region_part: self.u8()?,
            bay: self.u16()?,
            power_hint: self.f32()?,
            cache: self.address()?,
            status: self.u8()?,
        })
    }

    fn arrival(&mut self, code: u16) -> Result<Option<Arrival>, Malformed> {
        Ok(Some(match code {
            268 => Arrival::At(self.u32()?),
            256 => {
                let (prng, n) = (self.u64()?, self.u32()? as usize);
                Arrival::Start {
                    prng,
                    env: String::from_utf8_lossy(self.bytes(n)?).into_owned(),
                }
            }
            267 => {
                let (slot, n) = (self.u8()?, self.u32()?);
                Arrival::Roster {
                    slot,
                    hosts: (0..n).map(|_| self.line()).collect::<Result<_, _>>()?,
                }
            }
            257 => {
                let (mode, _, slot) = (self.u8()?, self.u64()?, self.u8()?);
                Arrival::PeersKnown { mode, slot }
            }
            258 => {
                let (id, slice, length_kb, asset) =
                    (self.u32()?, self.f32()?, self.f32()?, self.u64()?);
                let (expires_s, _realm, lane, _attrs) =
                    (self.f64()?, self.u16()?, self.u16()?, self.u16()?);
                Arrival::Inbound {
                    id,
                    slice,
                    length_kb,
                    asset,
                    expires_s,
                    lane,
                    batch_id: self.f32()?,
                }
            }
            259 => Arrival::First { id: self.u32()? },
            265 => Arrival::Halt,
            264 => {
                let (author, n) = (self.u16()?, self.u16()? as usize);
                Arrival::Heard {
                    author,
                    octets: self.bytes(n)?.to_vec(),
                }
            }
            260 => Arrival::Done(Done {
                id: self.u32()?,
                go: self.u8()?,
                cache: self.address()?,
                disposition: self.u16()?,
                delay_seen_s: self.f64()?,
                finished: self.u8()? != 0,
                note: self.u8()?,
                first_byte_s: self.f64()?,
                health_info: self.loads()?,
            }),
            261 => Arrival::Expired { id: self.u32()? },
            262 => Arrival::Ring {
                handle: self.u32()?,
            },
            263 => Arrival::Probed {
                cache: self.address()?,
                disposition: self.u16()?,
                delay_seen_s: self.f64()?,
                health_info: self.loads()?,
            },
            266 => Arrival::Invalidated {
                asset: self.u64()?,
                batch_id: self.u16()?,
                oldness_s: self.f64()?,
            },
            _ => return Ok(None),
        }))
    }
}

/// Reads one frame, its length field left off.
pub(crate) fn read(frame: &[u8]) -> Result<Batch, Malformed> {
    let mut f = Fields { rest: frame, at: 4 };
    let (clock, count, number) = (f.f64()?, f.u32()?, f.u32()?);
    let mut records = Vec::new();
    for _ in 0..count {
        let start = f.at;
        let (code, n) = (f.u16()?, f.u32()? as usize);
        let mut record = Fields {
            at: f.at,
            rest: f.bytes(n)?,
        };
        if let Some(arrival) = record.arrival(code)? {
            records.push((start, arrival));
        }
    }
    if !f.rest.is_empty() {
        let what = format!("{} bytes behind the last record", f.rest.len());
        return Err(Malformed { offset: f.at, what });
    }
    Ok(Batch {
        clock,
        number,
        records,
    })
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Deed {
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

fn put_text(b: &mut Vec<u8>, text: &str) {
    let cut = text.floor_char_boundary(usize::from(u16::MAX));
    b.put_u16_le(cut as u16);
    b.put_slice(&text.as_bytes()[..cut]);
}

fn put_deed(b: &mut Vec<u8>, deed: &Deed) -> u16 {
    match deed {
        Deed::Speaking(instance) => {
            b.put_u32_le(*instance);
            333
        }
        Deed::Route { id, cache, limit_s } => {
            b.put_u32_le(*id);
            put_address(b, *cache);
            b.put_f64_le(*limit_s);
            320
        }
        Deed::Obtain {
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
        Deed::OverloadReply { id, cool_down_s } => {
            b.put_u32_le(*id);
            b.put_f64_le(*cool_down_s);
            321
        }
        Deed::Surrender { id } => {
            b.put_u32_le(*id);
            322
        }
        Deed::Revoke { id, go } => {
            b.put_u32_le(*id);
            b.put_u8(*go);
            323
        }
        Deed::Defer {
            alarm_time_s,
            handle,
        } => {
            b.put_f64_le(*alarm_time_s);
            b.put_u32_le(*handle);
            324
        }
        Deed::Emit(text) => {
            put_text(b, text);
            328
        }
        Deed::GiveIn(text) => {
            put_text(b, text);
            329
        }
        Deed::Track(on) => {
            b.put_u8(u8::from(*on));
            330
        }
    }
}

/// Writes a whole reply frame.
pub(crate) fn write(number: u32, deeds: &[Deed]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(12 + deeds.len() * 48);
    frame.put_u32_le(0);
    frame.put_u32_le(deeds.len() as u32);
    frame.put_u32_le(number);
    let mut body = Vec::new();
    for deed in deeds {
        body.clear();
        let code = put_deed(&mut body, deed);
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

    const TWO: &str = "508d976e12d32040 05000000 0c000000 0c01 04000000 03000000
        0201 26000000 c4913a5d 00004040 00002044 640ad2557c3bf091 cba145b6f34d2140 0000 0000 0100 00003041
        0601 04000000 4d000000 0c01 04000000 05000000 0501 04000000 192b6f0e";

    #[test]
    fn reads_events_for_two_instances() {
        let batch = read(&hex(TWO)).unwrap();
        let kinds: Vec<_> = batch.records.iter().map(|r| &r.1).collect();
        assert_eq!((batch.number, batch.records.len()), (12, 5));
        assert!(
            matches!(kinds[0], Arrival::At(3)) && matches!(kinds[2], Arrival::Ring { handle: 77 })
        );
        assert!(
            matches!(kinds[1], Arrival::Inbound { id: 0x5d3a91c4, slice, length_kb, batch_id, .. }
            if *slice == 3.0 && *length_kb == 640.0 && *batch_id == 11.0)
        );
        assert!(matches!(kinds[4], Arrival::Expired { id: 0x0e6f2b19 }));
    }

    #[test]
    fn reads_lists_outcomes_and_purges() {
        let frame = "508d976e12d32040 04000000 01000000 0b01 33000000 00 02000000
            00 0000000000000000 00 0000 0000803f 0a124a07 431f 00
            00 6666666666661840 01 0000 0000c03f 0a9011f2 6c1f 00 0101 0a000000 00 2900000000000000 00
            0401 2c000000 c4913a5d 00 0a124a07 431f 6400 8b6ce7fba9f1923f 01 02 55c1a8a44e40833f
            03 52b81e3f0000a03fcdcccc3e 0a01 12000000 010ad2557c000000 0b00 c3f5285c8fc2b53f";
        let records = read(&hex(frame)).unwrap().records;
        assert!(matches!(&records[0].1, Arrival::Roster { slot: 0, hosts }
            if hosts[0].cache == CACHE && hosts[1].power_hint == 1.5 && hosts[1].online_since_s == 6.1));
        assert!(matches!(
            records[1].1,
            Arrival::PeersKnown { mode: 0, slot: 0 }
        ));
        assert!(matches!(&records[2].1, Arrival::Done(d)
            if d.disposition == 100 && d.finished && d.note == 2 && d.health_info.len() == 3));
        assert!(
            matches!(records[3].1, Arrival::Invalidated { batch_id: 11, oldness_s, .. } if oldness_s == 0.085)
        );
    }

    #[test]
    fn writes_the_worked_replies() {
        assert_eq!(write(1, &[]), hex("08000000 00000000 01000000"));
        let deeds = [
            Deed::Speaking(3),
            Deed::Route {
                id: 0x5d3a91c4,
                cache: CACHE,
                limit_s: 0.08,
            },
            Deed::Defer {
                alarm_time_s: f64::from_bits(0x4021d3126e978d50),
                handle: 77,
            },
            Deed::Speaking(5),
            Deed::Emit("two servers known".into()),
        ];
        let want = "5f000000 05000000 0c000000 4d01 04000000 03000000
            4001 12000000 c4913a5d 0a124a07 431f 7b14ae47e17ab43f 4401 0c000000 508d976e12d32140 4d000000
            4d01 04000000 05000000 4801 13000000 1100 74776f2073657276657273206b6e6f776e";
        assert_eq!(write(12, &deeds), hex(want));
        let obtain = Deed::Obtain {
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
    fn bad_frames_name_the_place_and_unknown_events_are_passed_over() {
        assert_eq!(read(&hex(TWO)[..30]).unwrap_err().offset, 32);
        assert_eq!(read(&[0; 5]).unwrap_err().offset, 4);
        let extra = hex("508d976e12d32040 00000000 01000000 ff");
        assert_eq!(read(&extra).unwrap_err().offset, 20);
        let unknown = hex("508d976e12d32040 01000000 01000000 ffff 02000000 0102");
        assert!(read(&unknown).unwrap().records.is_empty());
        let short = hex("508d976e12d32040 01000000 01000000 0c01 02000000 0102");
        assert_eq!(read(&short).unwrap_err().offset, 26);
    }
}
