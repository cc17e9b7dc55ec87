08:45:38.303 edge-sk-north-a-1 broken off account=hude190 cause=read body from 10.1.64.7:8325: unexpected EOF events=27 id=12afa362b7cb5f0b left=3615 ms=741 route=r-bedziip server=i-ee9221407b waited=2
    known for 4.631s: configuration in force accounts=8 routes=17 version=36
    known for 16.101s: coordinator changed held=0 service=bara48b
    known for 14.539s: coordinator changed held=0 service=lezi52a
    known for 24.34s: server address=10.1.64.7:8325 leaving=false server=i-ee9221407b service=lezi52a
    known for 26.292s: start domain=sk-north-a front=10.1.0.32:8328
