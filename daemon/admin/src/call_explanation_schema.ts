import {
  policyResourceSchema,
  routeSchema,
  serviceResourceSchema,
} from '@carobseam/config.types';
import {z} from 'zod';

const localLoadSchema = z.object({
  running: z.number(),
  queued: z.number(),
  slots: z.number(),
});

/** Response of `/explain`: how a daemon would route a call now. */
export const callExplanationSchema = z.object({
  vmId: z.string(),
  method: z.string(),
  path: z.string(),
  lifecycle: z.enum(['starting', 'serving', 'leaving']),
  version: z.number(),
  /** Absent, as are `service` and `policy`, when no route matches. */
  route: routeSchema.optional(),
  service: serviceResourceSchema.optional(),
  policy: policyResourceSchema.optional(),
  workers: z.array(
    z.object({
      vmId: z.string(),
      dataCentre: z.string(),
      address: z.string(),
      callersPort: z.number(),
      usable: z.boolean(),
      reason: z.string().optional(),
      load: localLoadSchema.optional(),
    }),
  ),
});

export type CallExplanation = z.output<typeof callExplanationSchema>;
