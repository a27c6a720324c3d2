import type {TeamUse} from '@marjoramcove/quotas';
import type {CallerId} from '@marjoramcove/types';

/** Use of the quotas as known to one control daemon. */
export type QuotaUse = {
	/** Whether this daemon owns the quotas; the others know nothing of their use. */
	isOwner: boolean;
	/** Teams with a quota, those with the highest demand for their rate first. */
	teams: Array<TeamUse & {teamId: CallerId}>;
};
