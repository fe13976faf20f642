import {z} from 'zod';

const dataCentreSchema = z.string().min(1);

const stepSchema = z
  .strictObject({
    /** Time since the start of the scenario, ms. */
    atMs: z.number().int().nonnegative(),
    /** Publishes a version; `fault` makes it a bad one. */
    publish: z
      .strictObject({
        version: z.number().int().positive(),
        /** Distinguishes versions with the same number. */
        variant: z.number().int().default(0),
        fault: z.enum(['dangling_route', 'late_pack']).optional(),
      })
      .optional(),
    /** Publishes the packs that were held back. */
    publishPacks: z.literal(true).optional(),
    platform: z
      .strictObject({down: z.boolean(), stale: z.boolean()})
      .partial()
      .optional(),
    /** Data centres that do not reach the platform from now on. */
    cutFromPlatform: z.array(dataCentreSchema).optional(),
    /** Data centres that reach only themselves from now on. */
    cutOff: z.array(dataCentreSchema).optional(),
    /** Share of the requests between daemons that get lost from now on. */
    lossRate: z.number().min(0).max(1).optional(),
    expect: z
      .strictObject({
        version: z.number().int().nonnegative(),
        /** All data centres when absent. */
        dataCentres: z.array(dataCentreSchema).optional(),
      })
      .optional(),
    /** Expects that rejections were counted under a reason. */
    expectRefused: z.string().optional(),
  })
  .refine(
    step => Object.keys(step).length > 1,
    'name an action or an expectation',
  );

/** Schema of a scenario file. */
export const scenarioSchema = z.strictObject({
  /** Failure that the scenario guards against. */
  guardsAgainst: z.string().min(1),
  seed: z.number().int(),
  dataCentres: z.array(dataCentreSchema).min(1),
  daemonsPerDataCentre: z.number().int().min(1).max(50),
  steps: z.array(stepSchema).min(1),
});

export type Scenario = z.output<typeof scenarioSchema>;
export type ScenarioStep = Scenario['steps'][number];
