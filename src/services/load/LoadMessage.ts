import * as kernel from '../../kernel/index.js';

/** What the load service takes. */
export type LoadMessage = {readonly kind: 'tick'};

/** The load service. */
export const LOAD = kernel.getServiceName<LoadMessage>('load');
