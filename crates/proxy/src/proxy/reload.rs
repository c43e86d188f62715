//! Reloads the configuration. Settings that can change at run time take effect immediately. A configuration is applied
//! completely or not at all.

use super::Proxy;
use crate::frame;
use meadowrill_admission::config::{AdmissionConfig, ClientKey};
use meadowrill_admission::identity::IdentityResolver;
use meadowrill_routing::interface::Micros;
use slog::{error, info, warn};

impl Proxy {
    /// Reads the configuration again. An invalid configuration changes nothing.
    pub(super) fn reload(&mut self, now: Micros) {
        let new = match self.config.reload() {
            Ok(new) => new,
            Err(fault) => {
                return error!(self.log, "new configuration rejected, keeping the current one"; "key" => &fault.key,
                    "reason" => &fault.problem);
            }
        };
        let former = self.config.operator.admission.clone();
        for key in self.config.replace(new) {
            warn!(self.log, "takes effect at the next start only"; "key" => key);
        }
        info!(self.log, "configuration reloaded"; "discovery" => %self.config.discovery);
        if former != self.config.operator.admission {
            self.reconfigure_admission(now);
        }
        self.apply_operator_settings(now);
        let address = self.config.discovery;
        self.with_discovery(now, |client, poll, notices| {
            client.change_address(address, now, poll, notices);
        });
    }

    fn reconfigure_admission(&mut self, now: Micros) {
        let controller = &mut self.admission.controller;
        info!(self.log, "admission control reconfigured"; "queued" => controller.waiting(),
            "in_flight" => controller.open());
        let settings = &self.config.operator.admission;
        controller.reconfigure(now, settings.clone());
        self.admission.identities = IdentityResolver::new(settings, self.config.seed);
    }

    /// Applies the operator settings that are stored outside admission control: the request fields that name the tenant
    /// and the client, and the time of the next report.
    pub(super) fn apply_operator_settings(&mut self, now: Micros) {
        let AdmissionConfig {
            tenant_field,
            client_key,
            ..
        } = &self.config.operator.admission;
        let client_field = match client_key {
            ClientKey::Field(name) => Some(name.clone()),
            ClientKey::Address | ClientKey::Connection => None,
        };
        self.downstream.clients.identity_fields = frame::IdentityFields {
            tenant: tenant_field.clone(),
            client: client_field,
        };
        let interval_s = self.config.operator.report_interval_s;
        let next = interval_s.map(|interval_s| now + (interval_s * 1e6) as Micros);
        self.timers.set_admission_report(next);
    }
}
