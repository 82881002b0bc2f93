/** Client for the platform's list of live and leaving VMs. */
@NullMarked
package org.currantslip.adapter.vmlist;

import org.jspecify.annotations.NullMarked;
