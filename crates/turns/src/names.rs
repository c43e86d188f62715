//! Who asks: the tenant by a field of the request or the longest matching network, the client by address,
//! connection or field. Names stay at the door: behind it both are numbers.

use crate::plan::{ClientBy, Plan};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use meadowrill_core::door::stable;
use prefix_trie::PrefixMap;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;

/// The tenant by its place in the plan, and the client by a number that stands for its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asker {
    pub tenant: u16,
    pub client: u64,
    /// Numbers grow: what was opened later has the greater one.
    pub connection: u64,
    /// For operators only: the client is told by its number.
    pub address: IpAddr,
}

/// What a host sees of who asks.
#[derive(Clone, Copy, Debug)]
pub struct Seen<'a> {
    pub address: IpAddr,
    pub connection: u64,
    pub tenant_field: Option<&'a str>,
    pub client_field: Option<&'a str>,
}

pub struct Names {
    v4: PrefixMap<Ipv4Net, u16>,
    v6: PrefixMap<Ipv6Net, u16>,
    values: BTreeMap<String, u16>,
    client_by: ClientBy,
    /// By place: the same for a tenant that keeps its name when the settings change.
    tenants: Vec<u64>,
    seed: u64,
}

impl Names {
    pub fn new(plan: &Plan, seed: u64) -> Names {
        let (mut v4, mut v6, mut values) = (PrefixMap::new(), PrefixMap::new(), BTreeMap::new());
        for (at, tenant) in (0u16..).zip(&plan.tenants) {
            for net in &tenant.networks {
                match net.trunc() {
                    IpNet::V4(net) => drop(v4.insert(net, at)),
                    IpNet::V6(net) => drop(v6.insert(net, at)),
                }
            }
            values.extend(tenant.values.iter().map(|value| (value.clone(), at)));
        }
        Names {
            v4,
            v6,
            values,
            client_by: plan.client_by.clone(),
            tenants: plan.tenants.iter().map(|t| stable(&t.name)).collect(),
            seed,
        }
    }

    /// An unknown value of the field falls back to the network: a client cannot leave its tenant by making names up.
    pub fn asker(&self, seen: Seen<'_>) -> Asker {
        // An address of the fourth version in the clothes of the sixth is the same hospital's.
        let address = seen.address.to_canonical();
        let by_field = seen.tenant_field.and_then(|value| self.values.get(value).copied());
        let by_network = || match address {
            IpAddr::V4(a) => self.v4.get_lpm(&Ipv4Net::from(a)).map(|(_, at)| *at),
            IpAddr::V6(a) => self.v6.get_lpm(&Ipv6Net::from(a)).map(|(_, at)| *at),
        };
        let tenant = by_field.or_else(by_network).unwrap_or(0);
        let mut hasher = DefaultHasher::new();
        (self.seed, self.tenants[usize::from(tenant)]).hash(&mut hasher);
        match (&self.client_by, seen.client_field) {
            (ClientBy::Connection, _) => (1u8, seen.connection).hash(&mut hasher),
            (ClientBy::Field(_), Some(value)) => (2u8, value).hash(&mut hasher),
            _ => (0u8, address).hash(&mut hasher),
        }
        Asker { tenant, client: hasher.finish(), connection: seen.connection, address }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::plan::Tenant;

    fn tenant(name: &str, networks: &[&str], values: &[&str]) -> Tenant {
        Tenant {
            name: name.into(),
            networks: networks.iter().map(|n| n.parse().unwrap()).collect(),
            values: values.iter().map(|v| v.to_string()).collect(),
            ..Tenant::default()
        }
    }

    #[test]
    fn the_longest_network_wins_and_a_known_field_before_it() {
        let tenants = vec![
            Tenant::default(),
            tenant("wide", &["10.0.0.0/8", "2001:db8::/32"], &["w"]),
            tenant("narrow", &["10.9.0.0/16"], &[]),
            tenant("all", &["0.0.0.0/0"], &[]),
        ];
        let plan = Plan { tenants, tenant_field: Some("h".into()), ..Plan::default() };
        assert_eq!(plan.check(), Ok(()));
        let names = Names::new(&plan, 1);
        let of = |address: &str, field| {
            let address = address.parse().unwrap();
            names.asker(Seen { address, connection: 1, tenant_field: field, client_field: None }).tenant
        };
        assert_eq!([of("10.1.2.3", None), of("10.9.2.3", None), of("9.9.9.9", None)], [1, 2, 3]);
        assert_eq!(
            [of("2001:db8::1", None), of("2001:db9::1", None), of("::ffff:10.9.0.1", None)],
            [1, 0, 2]
        );
        assert_eq!([of("10.9.2.3", Some("w")), of("10.9.2.3", Some("made up"))], [1, 2]);
    }

    #[test]
    fn a_client_is_what_the_plan_says() {
        let seen = |connection, client_field| Seen {
            address: "10.0.0.1".parse().unwrap(),
            connection,
            tenant_field: None,
            client_field,
        };
        let same = |client_by, a, b| {
            let names = Names::new(&Plan { client_by, ..Plan::default() }, 1);
            names.asker(a).client == names.asker(b).client
        };
        assert!(same(ClientBy::Address, seen(1, Some("a")), seen(2, Some("b"))));
        assert!(!same(ClientBy::Connection, seen(1, None), seen(2, None)));
        let field = ClientBy::Field("desk".into());
        assert!(same(field.clone(), seen(1, Some("a")), seen(2, Some("a"))));
        assert!(!same(field.clone(), seen(1, Some("a")), seen(1, Some("b"))));
        assert!(same(field, seen(1, None), seen(2, None)));
    }
}
