import {
  dataCentreNameSchema,
  serviceNameSchema,
  vmIdSchema,
} from '@carobseam/core.types';
import {z} from 'zod';

/** State of a member, as another daemon sees it. */
export const memberStateSchema = z.enum([
  'alive',
  'suspect',
  'leaving',
  'dead',
]);

/** Membership record of one daemon, which the daemons of its data centre exchange. */
export const memberRecordSchema = z.strictObject({
  vmId: vmIdSchema,
  dataCentre: dataCentreNameSchema,
  service: serviceNameSchema,
  address: z.string().max(45),
  fleetPort: z.number().int().min(1).max(65535),
  callersPort: z.number().int().min(1).max(65535),
  /** Increases at each start of the member and each time that it refutes a false report about itself. */
  incarnation: z.number().int().nonnegative(),
  state: memberStateSchema,
  /** Time since which the member serves calls, by its own wall clock, ms. */
  servingSinceWallMs: z.number().nonnegative(),
  /** Highest configuration version that the member was seen with, 0 for none. */
  configVersion: z.number().int().nonnegative(),
});

/** State of a member, as another daemon sees it. */
export type MemberState = z.output<typeof memberStateSchema>;
/** Membership record of one daemon. */
export type MemberRecord = z.output<typeof memberRecordSchema>;
