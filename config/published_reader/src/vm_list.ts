import {
  dataCentreNameSchema,
  serviceNameSchema,
  vmIdSchema,
} from '@carobseam/core.types';
import {z} from 'zod';

/** One VM of the platform's list, which lags behind reality. */
export const listedVmSchema = z.object({
  vmId: vmIdSchema,
  dataCentre: dataCentreNameSchema,
  service: serviceNameSchema,
  address: z.string().max(45),
  fleetPort: z.number().int().min(1).max(65535),
  callersPort: z.number().int().min(1).max(65535),
  state: z.enum(['live', 'leaving']),
});

/** The platform's list of VMs. */
export const vmListSchema = z.object({vms: z.array(listedVmSchema)});

export type ListedVm = z.output<typeof listedVmSchema>;

/** The list with the platform's index of its last change. */
export interface VmList {
  index: number;
  vms: ListedVm[];
}
