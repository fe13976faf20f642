import {
  dataCentreNameSchema,
  serviceNameSchema,
  vmIdSchema,
} from '@carobseam/core.types';
import {isIP} from 'node:net';
import {z} from 'zod';

const addressSchema = z
  .string()
  .refine(value => isIP(value) !== 0, 'use an IP address, not a host name');
const portSchema = z.number().int().min(1).max(65535);

const endpointSchema = z.strictObject({
  address: addressSchema,
  port: portSchema,
});

const fleetKeySchema = z.strictObject({
  id: z.string().min(1).max(16),
  secret: z.string().min(16, 'use at least 16 characters'),
});

/** Schema of the daemon's settings file. */
export const daemonSettingsSchema = z.strictObject({
  vmId: vmIdSchema,
  dataCentre: dataCentreNameSchema,
  region: z.string().min(1),
  service: serviceNameSchema,
  /** Endpoint to which callers and other daemons send calls. */
  callers: endpointSchema,
  /** Endpoint for other daemons: UDP datagrams and TCP links on the same port. */
  fleet: endpointSchema,
  /** Endpoint for metrics, health checks and operators' commands. */
  admin: z.strictObject({
    /** Loopback by default, because the port has no authentication. */
    address: addressSchema.default('127.0.0.1'),
    port: portSchema,
  }),
  /** The local worker, on the same VM as this daemon. */
  upstream: endpointSchema,
  platform: z.strictObject({
    url: z.url({protocol: /^https?$/, error: 'use an http or https URL'}),
    keyPrefix: z.string().min(1).default('carobseam'),
    /** Limit for the calls per second of all daemons together. */
    fleetCallsPerSecond: z.number().positive().default(2000),
    readersPerDataCentre: z.number().int().min(1).max(8).default(2),
    timeoutMs: z.number().int().positive().default(2000),
    watchWaitMs: z.number().int().positive().default(30_000),
  }),
  /** Messages are signed with the first key; all keys are accepted. */
  fleetKeys: z.array(fleetKeySchema).min(1).max(4),
  /** Fleet endpoints of daemons to contact first after a start. */
  seedPeers: z.array(endpointSchema).default([]),
  /** Expected number of daemons, used until the VM list is known. */
  fleetSizeHint: z.number().int().positive().default(2100),
  dissemination: z
    .strictObject({
      /** `fast` minimises convergence time, `small` minimises control traffic. */
      profile: z.enum(['fast', 'small']).default('fast'),
    })
    .prefault({}),
  /** Configuration versions below this one are not applied. */
  minimumVersion: z.number().int().min(0).default(0),
  shutdownTimeoutMs: z.number().int().positive().default(30_000),
  log: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
    })
    .prefault({}),
});

/** Validated settings of a daemon. */
export type DaemonSettings = z.output<typeof daemonSettingsSchema>;

/** An IP address with a port. */
export type Endpoint = z.output<typeof endpointSchema>;

/** A secret key that all daemons share, with its identifier. */
export type FleetKey = z.output<typeof fleetKeySchema>;
