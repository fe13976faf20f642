import {memberRecordSchema} from '@carobseam/fleet.types';
import {z} from 'zod';

const memberStatusSchema = memberRecordSchema.extend({
  deadSinceWallMs: z.number().optional(),
  goneProved: z.boolean().optional(),
});

const otherDataCentreSchema = z.object({
  dataCentre: z.string(),
  /** VMs in the platform's VM list. */
  listedVms: z.number(),
  /** Daemons whose fleet endpoints are known. */
  knownPeers: z.number(),
});

/** Response of `/status`: the state of a daemon and of its data centre. */
export const daemonStatusSchema = z.object({
  vmId: z.string(),
  dataCentre: z.string(),
  lifecycle: z.enum(['starting', 'serving', 'leaving']),
  version: z.number(),
  manifestDigest: z.string().optional(),
  activePreset: z.string().optional(),
  reader: z.boolean(),
  /** VMs whose daemons should read the platform, as this daemon computes them. */
  readers: z.array(z.string()),
  versionFloor: z.object({
    hard: z.number(),
    soft: z.number(),
    softActive: z.boolean(),
    settled: z.boolean(),
  }),
  contact: z.object({
    majority: z.boolean(),
    majoritySinceWallMs: z.number(),
  }),
  load: z.object({
    running: z.number(),
    queued: z.number(),
    slots: z.number(),
  }),
  crashMarks: z.number(),
  members: z.array(memberStatusSchema),
  otherDataCentres: z.array(otherDataCentreSchema),
});

export type DaemonStatus = z.output<typeof daemonStatusSchema>;
export type MemberStatus = DaemonStatus['members'][number];
